package main

// fuzz sends messages of the protocol with few ids, at random, from owners, minions and the channel, and looks for a crash. It is
// a search tool.

import (
	"fmt"
	"math/rand"
	"net"
	"time"
)

func init() { cases["fuzz"] = playFuzz }

func playFuzz(s *scene) verdict {
	seed := s.seed
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	tags := make([]string, 12)
	for i := range tags {
		tags[i] = fmt.Sprintf("%016x", i+1)
	}
	var listeners []net.Listener
	for range 6 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return verdict{failed: err}
		}
		listeners = append(listeners, l)
	}
	random := rand.New(rand.NewSource(seed))
	entry := func(r *rand.Rand) string {
		i := r.Intn(5)
		addr := listeners[i].Addr().String()
		if r.Intn(6) == 0 {
			addr = listeners[r.Intn(6)].Addr().String()
		}
		up := int64(0)
		if r.Intn(3) == 0 {
			up = time.Now().UnixMilli() - int64(r.Intn(5000))
		}
		return fmt.Sprintf(`{"id":"m%d","host_port":%q,"locality":"hall-a","flavor":"node-64","cell":%d,"phase":%q,"size":1,"up_since_ms":%d,"spare":[%d,%d]}`,
			i, addr, r.Intn(3), []string{"up", "up", "up", "draining", "removed"}[r.Intn(5)], up, r.Intn(64), r.Intn(117))
	}
	c.add(true, entry(random), entry(random), entry(random))
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	for n, l := range listeners {
		go func() {
			for k := int64(0); ; k++ {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go fuzzMinion(&link{Conn: conn}, rand.New(rand.NewSource(seed+int64(n)*1000+k)), tags)
			}
		}()
	}
	for n := range 6 {
		go func() {
			r := rand.New(rand.NewSource(seed + int64(n)*77777))
			for {
				conn, err := net.Dial("tcp", s.orch.addr)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				fuzzOwner(&link{Conn: conn}, r, tags)
			}
		}()
	}
	end := time.After(80 * time.Second)
	for {
		select {
		case <-s.orch.ended:
			return verdict{breaks: []string{"the orchestrator ended"}}
		case <-end:
			return verdict{}
		case <-time.After(time.Duration(20+random.Intn(400)) * time.Millisecond):
			var es []string
			for range 1 + random.Intn(4) {
				es = append(es, entry(random))
			}
			c.add(random.Intn(8) == 0, es...)
		}
	}
}

func fuzzMinion(l *link, r *rand.Rand, tags []string) {
	seen := make(chan message, 1000)
	go func() {
		l.receive(func(m message) {
			select {
			case seen <- m:
			default:
			}
		})
		close(seen)
	}()
	defer func() { _ = l.Close() }()
	notes := []string{"", "busy", "cpu_full", "mem_full", "wrong_host", "oom", "preempted", "drained"}
	codes := []int{16, 31, 34, 41, 47, 102, 34, 41, 16}
	for {
		var tag, blob string
		pause := time.Duration(r.Intn(60)) * time.Millisecond
		select {
		case m, ok := <-seen:
			if !ok {
				return
			}
			if m.Verb == "ECHO" {
				rc := 1
				if r.Intn(10) > 0 {
					_ = l.send(message{Verb: "ECHOED", Tag: m.Tag, Opts: map[string]any{"load": "x0:3;x1:nan;util:1e300"}, RC: &rc})
				}
				continue
			}
			tag = m.Tag
		case <-time.After(pause):
			tag = tags[r.Intn(len(tags))]
		}
		time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
		switch r.Intn(9) {
		case 0, 1, 2, 3:
			blob = "b"
			_ = l.send(message{Verb: "STARTED", Tag: tag, Opts: map[string]any{}, Blob: &blob})
		case 4, 5, 6:
			f := finishNote(tag, codes[r.Intn(len(codes))], notes[r.Intn(len(notes))])
			if r.Intn(4) == 0 {
				blob = "x"
				f.Blob = &blob
			}
			_ = l.send(f)
		case 7:
			_ = l.send(message{Verb: "NOTICE", Tag: tag, Opts: map[string]any{"note": []string{"up", "cpu", "mem", "share", "tight"}[r.Intn(5)], "value": r.Float64() * 2}})
		case 8:
			switch r.Intn(10) {
			case 0:
				_ = l.Conn.(*net.TCPConn).SetLinger(0)
				return
			case 1:
				return
			case 2:
				_, _ = l.Write([]byte("{\"verb\":\"STAR"))
			case 3:
				_, _ = l.Write([]byte("noise\n"))
			case 4:
				time.Sleep(time.Duration(r.Intn(1500)) * time.Millisecond)
			default:
				_ = l.send(message{Verb: "FINISHED", Tag: tag, Opts: map[string]any{}})
			}
		}
	}
}

func fuzzOwner(l *link, r *rand.Rand, tags []string) {
	go l.receive(func(message) {})
	defer func() { _ = l.Close() }()
	classes := []string{"guide-web", "live-relay", "archive-cut", "archive-cut"}
	for range 5 + r.Intn(60) {
		tag := tags[r.Intn(len(tags))]
		if r.Intn(2) == 0 {
			tag = fmt.Sprintf("%016x", r.Uint64())
		}
		var err error
		switch r.Intn(10) {
		case 0, 1, 2, 3, 4, 5:
			at := ""
			if r.Intn(3) == 0 {
				at = fmt.Sprintf(";at:m%d", r.Intn(6))
			}
			blob := "d"
			err = l.send(message{Verb: "START", Tag: tag, Opts: map[string]any{"class": classes[r.Intn(4)], "left": 1 + r.Intn(3000), "key": "k" + tags[r.Intn(12)],
				"extras": fmt.Sprintf("cores:%d;memory:%d;service:%x%s", 1+r.Intn(10), 1+r.Intn(20), r.Intn(5), at)}, Blob: &blob})
		case 6, 7, 8:
			err = l.send(finish(tag, 16))
		case 9:
			zero := 0
			err = l.send(message{Verb: []string{"ECHO", "FINISHED", "PENDING", "WHAT"}[r.Intn(4)], Tag: tag, Opts: map[string]any{}, RC: &zero})
		}
		if err != nil {
			return
		}
		time.Sleep(time.Duration(r.Intn(40)) * time.Millisecond)
	}
	if r.Intn(3) == 0 {
		_ = l.Conn.(*net.TCPConn).SetLinger(0)
	}
}
