// Command wirehost hosts placers on the simulator's wire: batches come in on
// standard input, replies go out on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host holds the instances, which share nothing.
type host struct {
	placers map[int]*placement.Scheduler
	enc     *simwire.Encoder
}

func run(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(in)
	h := &host{placers: map[int]*placement.Scheduler{}, enc: simwire.NewEncoder(out)}
	for {
		b, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.reply(b); err != nil {
			return err
		}
	}
}

// reply hands each instance its events, in order of arrival, and writes what
// they do.
func (h *host) reply(b simwire.Batch) error {
	var order []int
	events := map[int][]placement.Event{}
	note := func(inst int, e placement.Event) {
		if _, ok := events[inst]; !ok {
			order = append(order, inst)
		}
		events[inst] = append(events[inst], e)
	}
	for _, it := range b.Items {
		switch it.Kind {
		case simwire.Start:
			delete(events, it.Inst)
			order = without(order, it.Inst)
			p, err := placement.New(it.Settings, it.Seed)
			if err != nil {
				if err := h.enc.Fault(it.Inst, err.Error()); err != nil {
					return err
				}
				delete(h.placers, it.Inst)
				continue
			}
			h.placers[it.Inst] = p
		case simwire.Stop:
			delete(h.placers, it.Inst)
			delete(events, it.Inst)
			order = without(order, it.Inst)
		case simwire.Happen:
			note(it.Inst, it.Event)
		}
	}
	for _, inst := range order {
		p, ok := h.placers[inst]
		if !ok {
			continue
		}
		actions, fault := handle(p, b.NowUs, events[inst])
		if fault != "" {
			if err := h.enc.Fault(inst, fault); err != nil {
				return err
			}
			continue
		}
		if err := h.enc.Actions(inst, actions); err != nil {
			return err
		}
	}
	return h.enc.End(b.Seq)
}

func without(order []int, inst int) []int {
	var out []int
	for _, i := range order {
		if i != inst {
			out = append(out, i)
		}
	}
	return out
}

// handle turns a panic of the decision code into a text.
func handle(p *placement.Scheduler, now int64, ev []placement.Event) (a []placement.Action, fault string) {
	defer func() {
		if r := recover(); r != nil {
			a, fault = nil, fmt.Sprint("panic: ", r)
		}
	}()
	return p.Handle(now, ev), ""
}
