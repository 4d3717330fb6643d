// Command simadapter runs schedulers for the simulator. It reads batches of events from standard
// input and writes replies to standard output, in the wire format of package simwire.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches from in and writes the reply to each batch to out. It returns nil if the input ends
// between batches.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	a := &adapter{schedulers: map[int]*placement.Scheduler{}, encoder: simwire.NewEncoder(out)}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.reply(batch); err != nil {
			return err
		}
	}
}

// adapter contains the running schedulers, by instance number. Schedulers share no state.
type adapter struct {
	schedulers map[int]*placement.Scheduler
	encoder    *simwire.Encoder
}

// pendingEvents contains the events of a batch, grouped by instance. The field named order
// lists the instances by the position of their first event that was not dropped.
type pendingEvents struct {
	order  []int
	events map[int][]placement.Event
}

// add adds an event for an instance.
func (p *pendingEvents) add(instance int, event placement.Event) {
	if _, known := p.events[instance]; !known {
		p.order = append(p.order, instance)
	}
	p.events[instance] = append(p.events[instance], event)
}

// drop removes the events of an instance.
func (p *pendingEvents) drop(instance int) {
	delete(p.events, instance)
	p.order = slices.DeleteFunc(p.order, func(other int) bool { return other == instance })
}

// reply handles a batch and writes the reply. It first starts and stops instances, and drops the events of
// an instance that precede its start or stop in the batch. It then passes the remaining events of each
// instance to its scheduler, in the order of the batch, and writes the resulting actions.
func (a *adapter) reply(batch simwire.Batch) error {
	pending := pendingEvents{events: map[int][]placement.Event{}}
	for _, item := range batch.Items {
		switch item.Kind {
		case simwire.InstanceStarted:
			pending.drop(item.Instance)
			if err := a.start(item); err != nil {
				return err
			}
		case simwire.InstanceStopped:
			pending.drop(item.Instance)
			delete(a.schedulers, item.Instance)
		case simwire.EventReceived:
			pending.add(item.Instance, item.Event)
		}
	}
	for _, instance := range pending.order {
		if err := a.handle(instance, batch.NowUs, pending.events[instance]); err != nil {
			return err
		}
	}
	return a.encoder.EndReply(batch.Seq)
}

// start starts an instance, which replaces any instance with the same number. If the scheduler rejects the
// settings, a FAULT line reports this to the simulator, and no instance with the number is left.
func (a *adapter) start(item simwire.Item) error {
	scheduler, err := placement.New(item.Settings, item.Seed)
	if err != nil {
		delete(a.schedulers, item.Instance)
		return a.encoder.WriteFault(item.Instance, err.Error())
	}
	a.schedulers[item.Instance] = scheduler
	return nil
}

// handle passes events to an instance and writes its actions, or a FAULT line if it panics. Events for an
// unknown instance are dropped.
func (a *adapter) handle(instance int, now int64, events []placement.Event) error {
	scheduler, known := a.schedulers[instance]
	if !known {
		return nil
	}
	actions, failure := handleEvents(scheduler, now, events)
	if failure != "" {
		return a.encoder.WriteFault(instance, failure)
	}
	return a.encoder.WriteActions(instance, actions)
}

// handleEvents returns the actions of a scheduler for events, or the text of its panic.
func handleEvents(
	scheduler *placement.Scheduler, now int64, events []placement.Event,
) (actions []placement.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			actions, failure = nil, fmt.Sprint("panic: ", r)
		}
	}()
	return scheduler.Handle(now, events), ""
}
