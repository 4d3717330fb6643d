package main

// This file owns the files by which a process tells the next one, or one beside it, which
// minions are out by hand and who serves. All of it blocks: it must never run on the loop.

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

// handoverStore is the files in which a process leaves what its successor needs: the minions
// out by hand, and which process serves. Its methods block: they must run off the loop.
type handoverStore struct {
	cordonsPath     string // of the minions out by hand; the other files' names begin with it
	processID     string // names this process
	previousID string // names the one that served when this one began
}

func newHandoverStore(dir string) handoverStore {
	s := handoverStore{cordonsPath: filepath.Join(dir, "minions-out")}
	s.processID = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	s.previousID = s.serving()
	return s
}

// serving names the process that said last that it serves, "" where none did.
func (s handoverStore) serving() string {
	b, _ := os.ReadFile(s.cordonsPath + ".serves") // without the file none did
	return strings.TrimSpace(string(b))
}

// claimServing says to the process that serves beside this one that this one serves now.
func (s handoverStore) claimServing() error { return s.write(".serves", []byte(s.processID+"\n")) }

// hasSuccessor reports whether a process that began after this one serves.
func (s handoverStore) hasSuccessor() bool {
	now := s.serving()
	return now != s.processID && now != s.previousID
}

func (s handoverStore) write(suffix string, b []byte) error {
	if err := os.WriteFile(s.cordonsPath+suffix+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(s.cordonsPath+suffix+".new", s.cordonsPath+suffix)
}

// readCordons returns what the file holds.
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

// settingChange carries out a call on the file, one process at a time.
func (s handoverStore) changeCordons(c admin.Call) (outs admin.Cordons, err error) {
	lock, err := os.OpenFile(s.cordonsPath+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer lock.Close() // which lets go of the lock
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return nil, fmt.Errorf("%s.lock: %w", s.cordonsPath, err)
	}
	if outs, err = s.readCordons(); err != nil {
		return nil, err
	}
	outs = outs.With(c)
	return outs, s.write("", outs.Encode())
}
