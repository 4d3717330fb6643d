package scale

import (
	"encoding/csv"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// This file owns the samples: one a second of each orchestrator, written as CSV.

const sampleEvery = time.Second

type samples struct {
	rig         *rig
	mutex       sync.Mutex // one sample at a time
	file        *os.File
	writer      *csv.Writer
	began       time.Time
	phase       atomic.Value // its name
	descriptors atomic.Int64 // the most that an orchestrator held
	peakMB      atomic.Int64 // the most memory that one held
	stop        chan struct{}
	group       sync.WaitGroup
}

func newSamples(r *rig, path string) (*samples, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	s := &samples{rig: r, file: file, writer: csv.NewWriter(file), began: time.Now(), stop: make(chan struct{})}
	s.phase.Store("start")
	s.writer.Write([]string{"ms", "phase", "orchestrator", "cpu_s", "rss_mb", "rss_peak_mb", "descriptors", "read_bytes", "written_bytes",
		"list_in_bytes", "list_out_bytes", "clients_in_bytes", "clients_out_bytes", "running", "started", "refused", "unanswered"})
	s.group.Go(s.run)
	return s, nil
}

func (s *samples) run() {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.take()
		case <-s.stop:
			return
		}
	}
}

func (s *samples) take() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running, counts := s.rig.fleet.Running(), s.rig.ledger.now()
	for _, o := range s.rig.orchestrators {
		u, err := processUsage(o.PID())
		if err != nil {
			continue // it is down
		}
		s.descriptors.Store(max(s.descriptors.Load(), int64(u.descriptors)))
		s.peakMB.Store(max(s.peakMB.Load(), int64(u.peakMB+0.999)))
		row := []string{fmt.Sprint(time.Since(s.began).Milliseconds()), s.phase.Load().(string), o.Name,
			fmt.Sprintf("%.4f", u.cpuSeconds), fmt.Sprintf("%.1f", u.residentMB), fmt.Sprintf("%.1f", u.peakMB)}
		for _, figure := range []int64{int64(u.descriptors), u.read, u.written, o.list.Bytes().Sent.Load(), o.list.Bytes().Received.Load(),
			o.clients.bytes.Sent.Load(), o.clients.bytes.Received.Load(), int64(running), int64(counts.started), int64(counts.refused),
			int64(counts.unanswered)} {
			row = append(row, fmt.Sprint(figure))
		}
		s.writer.Write(row) // what fails is told at close
	}
}

// close writes what is left.
func (s *samples) close() error {
	close(s.stop)
	s.group.Wait()
	s.writer.Flush()
	if err := s.writer.Error(); err != nil {
		return err
	}
	return s.file.Close()
}
