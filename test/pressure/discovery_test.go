package pressure

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file plays discovery whose answers are long or unsound.

const (
	// fleetSize is the size of the largest fleet, and maxChanged the number of entries in one event.
	fleetSize  = 3_200
	maxChanged = 1_920
	// missedEvents is the number of events in an outage of 60 s, with one each 0.6 s.
	missedEvents = 100
)

// fleetEntries returns the entries of the first workers of a large fleet, which drain and share the address of the worker.
func (s *server) fleetEntries(count, free int) (entries []string) {
	for i := range count {
		entries = append(entries, fmt.Sprintf(`{"id":"s-%08x","host_port":%q,"locality":"hall-a","flavor":"node-32","cell":1,"phase":"draining",`+
			`"size":1,"up_since_ms":0,"spare":[%d,%d]}`, 0x00c41f7a+i, s.worker.Addr(), free, 2*free))
	}
	return entries
}

// Guards against an answer of discovery that is refused for its length, and asked for again for good (review/9): after an outage
// of a minute, an orchestrator of a large fleet hears of each event, within the smallest memory limit, and serves meanwhile.
func TestLongAnswerAfterOutage(t *testing.T) {
	s := newServer(t)
	s.discovery.Add(false, s.fleetEntries(fleetSize, 28)...)
	proxy := testbed.NewProxyTo(t, s.channel)
	proxy.Partition(t)
	s.channel = proxy.Addr()
	s.start()
	o := s.observe()
	for i := range missedEvents {
		s.discovery.Add(false, s.fleetEntries(maxChanged, i%28)...)
	}
	next := testbed.NewWorker(t, "next")
	next.Kind = "node-64"
	s.discovery.Add(false, s.worker.ListEntry("draining"), next.ListEntry("up"))
	t.Logf("the answer has %.1f MB", float64(len(s.discovery.PollResponse(0)))/(1<<20))
	proxy.Heal(t)
	testbed.Wait(t, "an offer to the worker of the last event", next.Offers)
	o.check()
}

// Answers that never end, come byte by byte or claim to have gigabytes neither make the process exceed its memory limit nor keep
// clients waiting, and it polls again.
func TestUnsoundAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"
	const list = `{"cursor":9,"cmds":[{"cursor":9,"nodes":{"complete":false,"members":[`
	for _, test := range []struct {
		name  string
		write func(conn net.Conn)
	}{
		{"an entry that never ends", endless(head+list+`{"id":"`, "x")},
		{"an event that never ends", endless(head+list, `{"id":"s-9","host_port":"127.0.0.1:9","phase":"draining"},`)},
		{"invalid entries without an end", endless(head+list, `{},`)},
		{"values that are not used", endless(head+`{"cursor":9,"x":[`, `[[{"y":1}]],`)},
		{"noise", endless("", "\x00{[")},
		{"a byte at a time", func(conn net.Conn) {
			for _, c := range []byte(head + list) {
				if _, err := conn.Write([]byte{c}); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := testbed.ListenLocal()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { testbed.CloseQuietly(listener) })
			polls := make(chan bool, 1000)
			go answerPolls(listener, polls, test.write)
			s := newServer(t)
			s.channel = listener.Addr().String()
			s.start()
			o := s.observe()
			time.Sleep(*floodFlag)
			for range 3 {
				testbed.Wait(t, "another poll", polls)
			}
			o.check()
		})
	}
}

// answerPolls calls write with each connection on which a poll comes, until the listener is closed.
func answerPolls(listener net.Listener, polls chan<- bool, write func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer testbed.CloseQuietly(conn)
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
			select {
			case polls <- true:
			default:
			}
			write(conn)
		}()
	}
}

// endless returns a function that writes the beginning of an answer, and then a text again and again until the connection ends.
func endless(beginning, text string) func(conn net.Conn) {
	write := writeText(text)
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, beginning); err == nil {
			write(conn)
		}
	}
}

// The answer that TestLongAnswerAfterOutage plays is longer than the memory of the process.
func TestLongAnswerExceedsMemory(t *testing.T) {
	s := server{worker: testbed.NewWorker(t, "s-1")}
	if size := len(strings.Join(s.fleetEntries(maxChanged, 20), ",")) * missedEvents; size <= memoryMB<<20/2 {
		t.Errorf("the answer has %d bytes, want more than half of %d MB", size, memoryMB)
	}
}
