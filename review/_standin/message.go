package main

// This file owns the messages of the platform's protocol, as the stand-ins read and write them.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
)

type message struct {
	Verb string         `json:"verb"`
	Tag  string         `json:"tag"`
	Opts map[string]any `json:"opts"`
	RC   *int           `json:"rc,omitempty"`
	Blob *string        `json:"blob,omitempty"`
}

func (m message) opt(name string) string {
	if v, ok := m.Opts[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

func (m message) code() int {
	if m.RC == nil {
		return -1
	}
	return *m.RC
}

func finish(tag string, rc int) message {
	return message{Verb: "FINISH", Tag: tag, Opts: map[string]any{}, RC: &rc}
}

func finishNote(tag string, rc int, note string) message {
	m := finish(tag, rc)
	if note != "" {
		m.Opts["note"] = note
	}
	return m
}

// link is one connection with JSON lines.
type link struct {
	net.Conn
	mu sync.Mutex
}

func (l *link) send(m message) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.Write(append(b, '\n'))
	return err
}

// receive calls handle with each message until the connection ends or a message cannot be read.
func (l *link) receive(handle func(message)) {
	scanner := bufio.NewScanner(l.Conn)
	scanner.Buffer(make([]byte, 0, 16<<10), 16<<10)
	for scanner.Scan() {
		var m message
		if json.Unmarshal(scanner.Bytes(), &m) != nil {
			return
		}
		handle(m)
	}
}
