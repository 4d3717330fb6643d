// Package atomicfile replaces files. A reader finds the old content of a file or the new one, also after a kill or a
// crash of the system.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// stagingSuffix is added to the path of a file for the file that holds its next content. Earlier versions of the program
// use the same suffix.
const stagingSuffix = ".new"

// Replace replaces the content of the file at path, or creates the file with the given mode. If Replace returns nil, the
// content is on the disk. After an error, the file has its old content, or the new one if the error is that of the last
// step, the synchronisation of the directory. Replace blocks, and must not be called twice at the same time for one path.
func Replace(path string, content []byte, mode os.FileMode) error {
	staging := path + stagingSuffix
	if err := write(staging, content, mode); err != nil {
		return err
	}
	if err := os.Rename(staging, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// write writes a file and synchronises it with the disk.
func write(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// syncDirectory synchronises the names of the files in a directory with the disk.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
