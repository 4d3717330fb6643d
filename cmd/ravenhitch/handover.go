package main

// This file owns the files by which a process hands over to its successor: the list of cordoned workers and
// the ID of the process that serves. All its functions block on disk I/O and must never run on the event
// loop.

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
	"ravenhitch/internal/atomicfile"
)

// Earlier versions of the program read and write files with these names, so the names must not change.
const (
	cordonsFile   = "minions-out"
	servingSuffix = ".serves"
	lockSuffix    = ".lock"

	handoverFileMode = 0o600
)

// handoverStore reads and writes the files by which a process passes state to its successor. Its methods block.
type handoverStore struct {
	cordonsPath string // path of the list of cordoned workers; the paths of the other files are this path plus a suffix
	processID   string // ID of this process
	previousID  string // ID of the process that served when this one started, "" if there was none
}

// newHandoverStore returns a store whose files are in dir. The files may not exist yet.
func newHandoverStore(dir string) handoverStore {
	s := handoverStore{
		cordonsPath: filepath.Join(dir, cordonsFile),
		processID:   strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid()),
	}
	s.previousID = s.serving()
	return s
}

// serving returns the ID of the process that last called claimServing, or "" if there is no readable record.
func (s handoverStore) serving() string {
	b, _ := os.ReadFile(s.cordonsPath + servingSuffix) // if the file cannot be read, no process is known to serve
	return strings.TrimSpace(string(b))
}

// claimServing records that this process serves now. A process that served before recognises from this record that
// it has a successor.
func (s handoverStore) claimServing() error {
	return s.replace(servingSuffix, []byte(s.processID+"\n"))
}

// hasSuccessor reports whether a process that started after this one serves now. It returns true if the
// recorded process is neither this one nor the one that served when this one started. It returns false if the record
// cannot be read: a process that believes in a successor turns clients away.
func (s handoverStore) hasSuccessor() bool {
	serving := s.serving()
	return serving != "" && serving != s.processID && serving != s.previousID
}

// replace atomically replaces the content of the file whose path is cordonsPath plus suffix.
func (s handoverStore) replace(suffix string, content []byte) error {
	return atomicfile.Replace(s.cordonsPath+suffix, content, handoverFileMode)
}

// readCordons returns the cordoned workers that the file lists. A missing file lists none.
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

// changeCordons applies a call to the list of cordoned workers in the file and returns the new list. A file
// lock prevents other processes from changing the list at the same time.
func (s handoverStore) changeCordons(call admin.Call) (admin.Cordons, error) {
	lock, err := os.OpenFile(s.cordonsPath+lockSuffix, os.O_CREATE|os.O_RDWR, handoverFileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // releases the lock; the lock file has no content that could be lost
	if err := lockFile(lock); err != nil {
		return nil, fmt.Errorf("%s%s: %w", s.cordonsPath, lockSuffix, err)
	}
	cordons, err := s.readCordons()
	if err != nil {
		return nil, err
	}
	cordons = cordons.With(call)
	return cordons, s.replace("", cordons.Encode())
}

// lockFile locks a file until it is closed, and waits for other processes that have locked it.
func lockFile(file *os.File) error {
	for {
		if err := unix.Flock(int(file.Fd()), unix.LOCK_EX); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
