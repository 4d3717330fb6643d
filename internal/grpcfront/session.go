package grpcfront

// This file owns the sessions: what each is owed, and what it was sent and has not
// acknowledged. They belong to the loop, and outlive their streams.

import (
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/placement"
)

// session is the owner of the offers made in it. It belongs to the loop.
type session struct {
	f      *Front
	name   string
	at     *stream // nil while no stream is open
	number uint64
	kept   []*edgepb.ServerMessage // not acknowledged
	open   map[string]named        // offers that are owed an answer
	tasks  map[string]string       // those that stand
	shut   bool                    // the client has closed its side
	expiry *eventloop.Timer
	id     uint64 // from a bit that no connection's number reaches
}

// named is what an open offer asked for.
type named struct{ task, class string }

// push numbers a message, keeps it until it is acknowledged, and sends it.
func (s *session) push(m *edgepb.ServerMessage) {
	s.number++
	m.Number = s.number
	if len(s.kept) >= keptMost {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, m)
	if s.at != nil {
		s.at.send(m)
	}
}

func (s *session) acknowledge(upTo uint64) {
	i := 0
	for i < len(s.kept) && s.kept[i].Number <= upTo {
		i++
	}
	s.kept = append(s.kept[:0], s.kept[i:]...)
}

// Respond implements core.Owner.
func (s *session) Respond(a dispatch.Response) {
	n := s.open[a.RequestID]
	task := n.task
	if a.Kind == dispatch.Completed || a.Kind == dispatch.Migrated {
		if task, ok := s.tasks[a.RequestID]; ok {
			how, reason := edgepb.Ended_HOW_LOST, reasons[a.Cause]
			switch {
			case a.Kind == dispatch.Migrated:
				how = edgepb.Ended_HOW_MOVED
			case a.Outcome == placement.Completed:
				how = edgepb.Ended_HOW_DONE
			}
			delete(s.tasks, a.RequestID)
			s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Ended{Ended: &edgepb.Ended{
				OfferId: a.RequestID, Task: task, How: how, Reason: reason}}})
			return
		}
	}
	delete(s.open, a.RequestID)
	if err := rejection(a); err != nil {
		s.reject(a.RequestID, task, err, s.f.issue(a, n.task, n.class))
	} else {
		s.tasks[a.RequestID] = task
		s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Binding{Binding: &edgepb.Binding{
			OfferId: a.RequestID, Task: task, Node: a.Worker, Description: a.Description}}})
	}
	s.settle()
}

var reasons = map[placement.Cause]string{placement.CauseEvicted: "evicted for memory",
	placement.CausePreempted: "pushed out", placement.CauseDrained: "sent away"}

func (s *session) reject(id, task string, err error, ticket []byte) {
	st := status.Convert(err)
	r := &edgepb.Rejection{OfferId: id, Task: task, Code: uint32(st.Code()), Message: st.Message(), Ticket: ticket}
	for _, d := range st.Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			r.RetryAfterMs = uint32(info.GetRetryDelay().AsDuration() / time.Millisecond)
		}
	}
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Rejection{Rejection: r}})
}

// settle ends the stream of a client that has closed its side, once nothing is
// owed to it.
func (s *session) settle() {
	if s.shut && len(s.open) == 0 && s.at != nil {
		s.at.end(nil)
	}
}

// attach makes st the session's stream and repeats what was not read.
func (f *Front) attach(name string, seen uint64, st *stream) *session {
	s := f.sessions[name]
	if f.closing || s == nil && len(f.sessions) >= sessionsMost {
		st.end(retry(codes.Unavailable, "no room for another session", retryLeast))
		return nil
	}
	if s == nil {
		s = &session{f: f, name: name, open: map[string]named{}, tasks: map[string]string{}}
		f.begun++
		s.id = 1<<63 | f.begun
		f.sessions[name] = s
	}
	if s.at != nil {
		s.at.end(status.Error(codes.Aborted, "a newer stream opened the session"))
	}
	s.expiry.Stop()
	s.at, s.shut = st, false
	s.acknowledge(seen)
	for _, m := range s.kept {
		st.send(m)
	}
	return s
}

// detach leaves the session without a stream. Offers that are open stay in until
// their time is up, and tasks stand.
func (s *session) detach(st *stream) {
	st.end(nil)
	if s.at != st {
		return
	}
	s.at = nil
	s.expiry = s.f.l.After(sessionLife, func() {
		if s.f.sessions[s.name] == s {
			delete(s.f.sessions, s.name)
		}
	})
}

// offer hands an offer of the session to the core.
func (s *session) offer(o *edgepb.Offer, set dispatch.Submission, p proof) {
	if n, ok := s.open[set.RequestID]; ok && n.task == set.Key {
		return // its answer is under way in this session
	}
	if len(s.open) >= openMost {
		s.reject(set.RequestID, set.Key, retry(codes.ResourceExhausted, "too many offers of the session are open", retryLeast), nil)
		return
	}
	s.open[set.RequestID] = named{set.Key, set.Class}
	s.f.admit(&set, p)
	set.Connection = s.id
	if err := s.f.submit(s, set); err != nil {
		delete(s.open, set.RequestID)
		s.turnAway(o, err)
	}
}

// turnAway rejects an offer that the core does not take.
func (s *session) turnAway(o *edgepb.Offer, err error) {
	s.reject(o.GetOfferId(), o.GetTask(), err, nil)
	s.settle()
}

// release ends an offer or a task of the session. Either way the client hears of
// the end once.
func (s *session) release(id string) {
	switch s.f.c.Cancel(s.f.l.Now(), s, id) {
	case dispatch.WasOpen:
		task := s.open[id].task
		delete(s.open, id)
		s.reject(id, task, status.Error(codes.Canceled, "its owner withdrew the offer"), nil)
		s.settle()
	case dispatch.WasRunning:
		task := s.tasks[id]
		delete(s.tasks, id)
		s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Ended{Ended: &edgepb.Ended{
			OfferId: id, Task: task, How: edgepb.Ended_HOW_RELEASED}}})
	}
}
