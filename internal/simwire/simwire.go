// Package simwire translates the simulator's text lines into events for schedulers, and the
// actions of schedulers into lines. It owns the form of that wire. It must never decide
// anything: what the events mean is up to package placement.
package simwire

// This file owns what a batch carries.

import "ravenhitch/placement"

// ItemKind says what an Item carries.
type ItemKind int

// The kinds of item.
const (
	InstanceStarted ItemKind = iota // Settings and Seed of a new instance
	InstanceStopped                 // the instance is killed
	EventReceived                   // Event
	Ignored                         // a message that means nothing to a scheduler
)

// Item is one message of a batch, for one instance.
type Item struct {
	Kind     ItemKind
	Instance int
	Seed     uint64
	Settings placement.Settings
	Event    placement.Event
}

// Batch is what happened at one moment.
type Batch struct {
	NowUs int64 // the simulator's clock
	Seq   string
	Items []Item
}
