package main

// This file owns the files by which a process hands over to its successor: which workers are cordoned,
// and which process serves. All of it blocks: it must never run on the event loop.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/admin"
)

// The names of the files are those that earlier versions read and write.
const (
	cordonsFile   = "minions-out"
	servingSuffix = ".serves"
	lockSuffix    = ".lock"
	stagingSuffix = ".new"

	handoverFileMode = 0o600
)

// handoverStore is the files in which a process leaves what its successor needs. Its methods block.
type handoverStore struct {
	cordonsPath string // the other files' names begin with it
	processID   string // names this process
	previousID  string // names the process that served when this one started
}

// newHandoverStore opens the files in a directory, which may not exist yet.
func newHandoverStore(dir string) handoverStore {
	s := handoverStore{
		cordonsPath: filepath.Join(dir, cordonsFile),
		processID:   strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid()),
	}
	s.previousID = s.serving()
	return s
}

// serving names the process that claimed last that it serves, "" where none did.
func (s handoverStore) serving() string {
	b, _ := os.ReadFile(s.cordonsPath + servingSuffix) // a file that can't be read names no process
	return strings.TrimSpace(string(b))
}

// claimServing announces to the process that serves beside this one that this one serves now.
func (s handoverStore) claimServing() error {
	return s.replace(servingSuffix, []byte(s.processID+"\n"))
}

// hasSuccessor reports whether a process that started after this one serves.
func (s handoverStore) hasSuccessor() bool {
	serving := s.serving()
	return serving != s.processID && serving != s.previousID
}

// replace replaces the file with this suffix as a whole.
func (s handoverStore) replace(suffix string, content []byte) error {
	path := s.cordonsPath + suffix
	if err := os.WriteFile(path+stagingSuffix, content, handoverFileMode); err != nil {
		return err
	}
	return os.Rename(path+stagingSuffix, path)
}

// readCordons returns the cordoned workers that the file lists.
func (s handoverStore) readCordons() (admin.Cordons, error) {
	b, err := os.ReadFile(s.cordonsPath)
	if errors.Is(err, fs.ErrNotExist) {
		return admin.Cordons{}, nil
	}
	if err != nil {
		return nil, err
	}
	return admin.DecodeCordons(s.cordonsPath, b)
}

// changeCordons applies a call to the file, one process at a time, and returns what the file lists then.
func (s handoverStore) changeCordons(call admin.Call) (admin.Cordons, error) {
	lock, err := os.OpenFile(s.cordonsPath+lockSuffix, os.O_CREATE|os.O_RDWR, handoverFileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // releases the lock; nothing was written to this file
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return nil, fmt.Errorf("%s%s: %w", s.cordonsPath, lockSuffix, err)
	}
	cordons, err := s.readCordons()
	if err != nil {
		return nil, err
	}
	cordons = cordons.With(call)
	return cordons, s.replace("", cordons.Encode())
}
