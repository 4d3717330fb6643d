package config

// This file owns the form of discovery's lists of workers. It must never let one invalid
// worker hide the others of its list.

import (
	"fmt"
	"net/netip"

	"github.com/tidwall/gjson"

	"ravenhitch/placement"
)

// errInvalidJSON is the error of a text that is not JSON at all.
var errInvalidJSON = fmt.Errorf("%w: not valid JSON", ErrConfig)

// Update is a response of discovery: the events after a cursor.
type Update struct {
	Cursor  int64
	Events  []Event
	Invalid []error // of members that were left out
}

// Event is one numbered event of discovery.
type Event struct {
	Cursor   int64
	HasList  bool // it carries a list of workers
	Complete bool // the list names all workers
	Members  []Member
}

// Member is one worker of a list.
type Member struct {
	placement.Entry
	Addr string // address:port
}

// ParseUpdate parses a response of discovery. Its errors wrap ErrConfig.
func ParseUpdate(text []byte) (Update, error) {
	if !gjson.ValidBytes(text) {
		return Update{}, errInvalidJSON
	}
	return parseUpdate(gjson.ParseBytes(text))
}

// parseUpdate parses an object with a cursor and events.
func parseUpdate(object gjson.Result) (Update, error) {
	if !object.IsObject() {
		return Update{}, fmt.Errorf("%w: expected an object", ErrConfig)
	}
	update := Update{Cursor: object.Get("cursor").Int()}
	object.Get("cmds").ForEach(func(_, event gjson.Result) bool {
		update.addEvent(event)
		return true
	})
	return update, nil
}

// addEvent adds an event, with the valid ones of its members.
func (u *Update) addEvent(object gjson.Result) {
	event := Event{Cursor: object.Get("cursor").Int()}
	if nodes := object.Get("nodes"); nodes.IsObject() {
		event.HasList, event.Complete = true, nodes.Get("complete").Bool()
		nodes.Get("members").ForEach(func(_, value gjson.Result) bool {
			member, err := parseMember(value)
			if err != nil {
				u.Invalid = append(u.Invalid, err)
			} else {
				event.Members = append(event.Members, member)
			}
			return true
		})
	}
	u.Events = append(u.Events, event)
}

// workerStates are the phases of the list.
var workerStates = map[string]placement.WorkerState{
	"up":       placement.Ready,
	"draining": placement.Draining,
	"removed":  placement.Removed,
}

// parseMember parses one worker of a list.
func parseMember(object gjson.Result) (Member, error) {
	member := Member{
		Addr: object.Get("host_port").String(),
		Entry: placement.Entry{
			Worker:      object.Get("id").String(),
			Kind:        object.Get("flavor").String(),
			Zone:        object.Get("locality").String(),
			Cell:        int(object.Get("cell").Int()),
			StartedAtUs: object.Get("up_since_ms").Int() * 1000,
			FreeCores:   object.Get("spare.0").Float(),
			FreeMemory:  object.Get("spare.1").Float(),
		},
	}
	if member.Worker == "" {
		return Member{}, fmt.Errorf("%w: a member without an id", ErrConfig)
	}
	phase := object.Get("phase").String()
	state, known := workerStates[phase]
	if !known {
		return Member{}, &MemberError{Worker: member.Worker, Problem: fmt.Sprintf("phase %.40q is unknown", phase)}
	}
	member.State = state
	if _, err := netip.ParseAddrPort(member.Addr); err != nil && state != placement.Removed {
		return Member{}, &MemberError{Worker: member.Worker, Problem: fmt.Sprintf("host_port %.60q is no address", member.Addr)}
	}
	return member, nil
}
