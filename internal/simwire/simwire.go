// Package simwire translates between the simulator's wire format, which consists of lines of text,
// and package placement: it decodes lines into events for schedulers and encodes the actions of
// schedulers as lines. It makes no scheduling decisions; package placement interprets the events.
package simwire

// This file contains the types of a decoded batch.

import "ravenhitch/placement"

// ItemKind is the kind of an Item. It determines which fields of the Item are set.
type ItemKind int

// The kinds of item. The field Instance of an Item is set for every kind.
const (
	InstanceStarted ItemKind = iota // the instance starts; Settings and Seed are set
	InstanceStopped                 // the instance stops
	EventReceived                   // the instance receives an event; Event is set
	Ignored                         // a message that schedulers do not use
)

// Item is one decoded message of a batch. It is addressed to one instance of the scheduler.
type Item struct {
	Kind     ItemKind
	Instance int
	Seed     uint64
	Settings placement.Settings
	Event    placement.Event
}

// Batch contains the messages of one moment of simulated time, in order.
type Batch struct {
	NowUs int64  // the simulator's clock in microseconds
	Seq   string // sequence number of the batch, which the reply repeats
	Items []Item
}
