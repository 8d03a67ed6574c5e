package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/dillchute/dillchute/consensus"
)

const (
	// receivedPrefix precedes the index in the name of the file of a received snapshot.
	receivedPrefix = snapshotFileName + ".received-"
	// unfinishedSuffix ends the name of a file that is still being written.
	unfinishedSuffix = ".new"
)

// receivedPath is the path of a snapshot from another replica that Save has not installed yet.
func (s *Store) receivedPath(index uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s%d", receivedPrefix, index))
}

// ReceiveSnapshot stores a snapshot from another replica, with data of the given size, until Save is called
// with it. It may be called concurrently with other methods, which do not wait for the data.
func (s *Store) ReceiveSnapshot(snapshot consensus.Snapshot, data io.Reader, size int64) error {
	if size == 0 && snapshot.Index > initialIndex {
		return ErrCorrupt.New("the received snapshot at %d has no data", snapshot.Index)
	}
	s.receiveMutex.Lock()
	defer s.receiveMutex.Unlock()
	path := s.receivedPath(snapshot.Index)
	_, err := writeSnapshotFile(path+unfinishedSuffix, snapshot, func(writer io.Writer) error {
		copied, err := io.Copy(writer, io.LimitReader(data, size))
		if err == nil && copied < size {
			err = io.ErrUnexpectedEOF
		}
		return err
	})
	if err == nil {
		err = os.Rename(path+unfinishedSuffix, path)
	}
	if err != nil {
		return ErrIO.Wrap(errors.Join(err, removeIfPresent(path+unfinishedSuffix)), "receive a snapshot")
	}
	return nil
}

// HasReceived reports whether the snapshot at the index was received completely and has been neither installed nor
// discarded.
func (s *Store) HasReceived(index uint64) bool {
	_, err := os.Stat(s.receivedPath(index))
	return err == nil
}

// installReceived makes the received snapshot the newest one, durably, and discards older ones. It may be
// repeated. It returns an ErrNotReceived error if the store does not hold the snapshot.
func (s *Store) installReceived(index uint64) error {
	s.filesMutex.Lock()
	defer s.filesMutex.Unlock()
	if s.snapshotFileIndex < index {
		err := os.Rename(s.receivedPath(index), filepath.Join(s.folder, snapshotFileName))
		if errors.Is(err, fs.ErrNotExist) {
			return ErrNotReceived.New("the snapshot at %d has not been received", index)
		}
		if err != nil {
			return ErrIO.Wrap(err, "install the received snapshot at %d", index)
		}
		s.snapshotFileIndex = index
	}
	if err := s.DiscardReceived(index); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

// DiscardReceived removes the received snapshots up to the index. The caller ensures that Save will not be called
// with one of them.
func (s *Store) DiscardReceived(through uint64) error {
	return s.removeReceived(func(name string) bool {
		index, err := strconv.ParseUint(name, 10, 64)
		return err == nil && index <= through
	})
}

// removeUnfinished removes received snapshots that an earlier process did not finish writing.
func (s *Store) removeUnfinished() error {
	return s.removeReceived(func(name string) bool { return strings.HasSuffix(name, unfinishedSuffix) })
}

// removeReceived removes the files of received snapshots that match, given the part of their name after
// receivedPrefix.
func (s *Store) removeReceived(match func(name string) bool) error {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return ErrIO.Wrap(err, "list %s", s.folder)
	}
	for _, entry := range entries {
		name, isReceived := strings.CutPrefix(entry.Name(), receivedPrefix)
		if !isReceived || !match(name) {
			continue
		}
		if err := removeIfPresent(filepath.Join(s.folder, entry.Name())); err != nil {
			return ErrIO.Wrap(err, "remove a received snapshot")
		}
	}
	return nil
}

func removeIfPresent(path string) error {
	if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
