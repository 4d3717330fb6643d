package scale

import (
	"encoding/csv"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// This file contains the samples: one per second and orchestrator, written as CSV.

const samplePeriod = time.Second

type samples struct {
	rig         *rig
	mutex       sync.Mutex // locked during each call of record
	file        *os.File
	writer      *csv.Writer
	startedAt   time.Time
	phase       atomic.Value // name of the current phase
	descriptors atomic.Int64 // maximum number of open descriptors of an orchestrator so far
	peakMB      atomic.Int64 // maximum resident memory of an orchestrator so far, in MiB rounded up
	stop        chan struct{}
	group       sync.WaitGroup
}

func newSamples(r *rig, path string) (*samples, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	s := &samples{rig: r, file: file, writer: csv.NewWriter(file), startedAt: time.Now(), stop: make(chan struct{})}
	s.phase.Store("start")
	s.write([]string{"ms", "phase", "orchestrator", "cpu_s", "rss_mb", "rss_peak_mb", "descriptors", "read_bytes", "written_bytes",
		"list_in_bytes", "list_out_bytes", "clients_in_bytes", "clients_out_bytes", "running", "started", "refused", "unanswered"})
	s.group.Go(s.run)
	return s, nil
}

func (s *samples) run() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.record()
		case <-s.stop:
			return
		}
	}
}

// record writes one sample of each orchestrator that runs.
func (s *samples) record() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running, counts := s.rig.fleet.Running(), s.rig.ledger.snapshot()
	for _, o := range s.rig.orchestrators {
		used, err := processUsage(o.PID())
		if err != nil {
			continue // the process does not run
		}
		s.descriptors.Store(max(s.descriptors.Load(), int64(used.descriptors)))
		s.peakMB.Store(max(s.peakMB.Load(), int64(used.peakMB+0.999)))
		row := []string{fmt.Sprint(time.Since(s.startedAt).Milliseconds()), s.phase.Load().(string), o.Name,
			fmt.Sprintf("%.4f", used.cpuSeconds), fmt.Sprintf("%.1f", used.residentMB), fmt.Sprintf("%.1f", used.peakMB)}
		for _, figure := range []int64{int64(used.descriptors), used.read, used.written, o.subscription.Bytes().Sent.Load(), o.subscription.Bytes().Received.Load(),
			o.clients.bytes.Sent.Load(), o.clients.bytes.Received.Load(), int64(running), int64(counts.started), int64(counts.rejected),
			int64(counts.unanswered)} {
			row = append(row, fmt.Sprint(figure))
		}
		s.write(row)
	}
}

// write adds a row. A write error is kept by the CSV writer and returned by close.
func (s *samples) write(row []string) { _ = s.writer.Write(row) }

// close stops sampling and flushes the file. It returns the first error of any write. Without such an error, it
// closes the file and returns the error of closing it.
func (s *samples) close() error {
	close(s.stop)
	s.group.Wait()
	s.writer.Flush()
	if err := s.writer.Error(); err != nil {
		return err
	}
	return s.file.Close()
}
