package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/dillchute/dillchute/consensus"
)

// snapshotFile holds a snapshot of applied entries, written beside the log so
// that its size does not hold the log up. It counts if it is newer than the
// snapshot in the log's file.
const snapshotFile = "snapshot"

// WriteSnapshot makes a snapshot durable. It may be called while other methods
// run. The log that it covers is dropped by DropLog afterwards.
func (s *Store) WriteSnapshot(snapshot consensus.Snapshot) error {
	data, err := cbor.Marshal(snapshot)
	if err != nil {
		return ErrIO.Wrap(err, "encode the snapshot")
	}
	path := filepath.Join(s.folder, snapshotFile)
	if err := writeSynced(path+".new", record(data)); err != nil {
		return ErrIO.Wrap(err, "write %s", path)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return ErrIO.Wrap(err, "name %s", path)
	}
	return syncFolder(s.folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// readSnapshotFile returns the snapshot of the folder's snapshot file, or nil
// if there is none.
func readSnapshotFile(folder string) (*consensus.Snapshot, error) {
	path := filepath.Join(folder, snapshotFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, ErrIO.Wrap(err, "read %s", path)
	}
	var snapshot consensus.Snapshot
	if err := decode(data, &snapshot); err != nil {
		return nil, ErrDamaged.Wrap(err, "read %s", path)
	}
	return &snapshot, nil
}

// DropLog forgets the entries up to the index, which a durable snapshot covers.
func (s *Store) DropLog(through uint64) error {
	err := s.database.Update(func(transaction *bolt.Tx) error {
		return dropEntries(transaction.Bucket(logBucket), through)
	})
	if err != nil {
		return ErrIO.Wrap(err, "drop the log")
	}
	return nil
}
