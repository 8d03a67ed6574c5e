// Package storage stores a replica's log, hard state and snapshot in a bbolt database and a snapshot file in
// its data folder. Each database record carries a checksum, and each save is one synced transaction.
package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	bolt "go.etcd.io/bbolt"

	"github.com/dillchute/dillchute/consensus"
)

// Types of storage errors.
var (
	namespace = errorx.NewNamespace("storage")
	// ErrCorrupt: a record is missing or invalid.
	ErrCorrupt = namespace.NewType("damaged")
	// ErrForeign: the folder belongs to another cluster or has another format.
	ErrForeign = namespace.NewType("foreign")
	// ErrExists: the folder is already initialised.
	ErrExists = namespace.NewType("exists")
	// ErrMissing: the folder has not been initialised.
	ErrMissing = namespace.NewType("missing")
	// ErrNotReceived: the store does not hold the snapshot that it is to install. Nothing was changed.
	ErrNotReceived = namespace.NewType("not_received")
	// ErrIO: a file operation failed.
	ErrIO = namespace.NewType("io")
)

const (
	databaseFileName = "control.db"
	fileMode         = 0o600
	folderMode       = 0o700
	formatVersion    = 2
	lockTimeout      = time.Second
	checksumSize     = 4
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	// The snapshot has its own bucket because bbolt rewrites all values of a page when one changes, and
	// almost every save changes the hard state.
	snapshotBucket = []byte("snapshot")
	identityKey    = []byte("identity")
	stateKey       = []byte("hard-state")
	snapshotKey    = []byte("snapshot")
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
)

// Identity identifies the replica whose data a folder holds.
type Identity struct {
	Format  int                 `cbor:"1,keyasint"`
	Cluster string              `cbor:"2,keyasint"`
	Replica consensus.ReplicaID `cbor:"3,keyasint"`
}

// Contents is the state that a store held when it was opened.
type Contents struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	// databaseSnapshot is the snapshot in the database, or empty if the snapshot file is newer.
	databaseSnapshot consensus.Snapshot
	// snapshotFileIndex is the index of the snapshot file, 0 if there is none.
	snapshotFileIndex uint64
}

// Store is an open data folder. Methods other than WriteSnapshot, OpenSnapshot, ReceiveSnapshot and HasReceived
// must not be called concurrently with each other.
type Store struct {
	database *bolt.DB
	folder   string
	// filesMutex guards changes of the snapshot file and snapshotFileIndex, its index, which is 0 if there is no
	// file.
	filesMutex        sync.Mutex
	snapshotFileIndex uint64
	// receiveMutex serializes the receipt of snapshots. It may be held for as long as their data takes to arrive.
	receiveMutex sync.Mutex

	mutex sync.Mutex
	// databaseSnapshot is the snapshot in the database, or empty if the snapshot file is newer.
	databaseSnapshot consensus.Snapshot
}

// HasReplica reports whether the folder holds a replica, even a corrupt one.
func HasReplica(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, databaseFileName))
	return err == nil
}

// Init initialises a data folder for a replica of the cluster that starts from the snapshot. It returns an
// ErrExists error if the folder already holds a replica.
func Init(folder, cluster string, replica consensus.ReplicaID, snapshot consensus.Snapshot) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return ErrIO.Wrap(err, "create data folder %s", folder)
	}
	path := filepath.Join(folder, databaseFileName)
	if _, err := os.Stat(path); err == nil {
		return ErrExists.New("%s has been initialised before", folder)
	}
	// The file is renamed once it is complete, so that an interrupted initialisation leaves no
	// replica.
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return ErrIO.Wrap(err, "remove %s", temporary)
	}
	database, err := bolt.Open(temporary, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return ErrIO.Wrap(err, "create %s", temporary)
	}
	err = database.Update(func(transaction *bolt.Tx) error {
		return initBuckets(transaction, Identity{Format: formatVersion, Cluster: cluster, Replica: replica}, snapshot)
	})
	if closeErr := database.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return ErrIO.Wrap(err, "initialise %s", path)
	}
	return syncFolder(folder)
}

func initBuckets(transaction *bolt.Tx, identity Identity, snapshot consensus.Snapshot) error {
	meta, err := transaction.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := transaction.CreateBucket(logBucket); err != nil {
		return err
	}
	snapshots, err := transaction.CreateBucket(snapshotBucket)
	if err != nil {
		return err
	}
	if err := put(meta, identityKey, identity); err != nil {
		return err
	}
	state := consensus.HardState{Term: snapshot.Term, Commit: snapshot.Index}
	if err := put(meta, stateKey, state); err != nil {
		return err
	}
	return put(snapshots, snapshotKey, snapshot)
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return ErrIO.Wrap(err, "open %s", folder)
	}
	defer handle.Close()
	if err := handle.Sync(); err != nil {
		return ErrIO.Wrap(err, "sync %s", folder)
	}
	return nil
}

// Open opens a data folder of the cluster and returns its contents. It returns an ErrMissing, ErrForeign or
// ErrCorrupt error if the folder can't be used.
func Open(folder, cluster string) (*Store, Contents, error) {
	path := filepath.Join(folder, databaseFileName)
	info, err := os.Stat(path)
	if err != nil {
		return nil, Contents{}, ErrMissing.New("%s holds no replica: run 'dillchute control init' or 'join' first", folder)
	}
	if info.Size() == 0 {
		// bbolt would initialise an empty file as a new database.
		return nil, Contents{}, ErrCorrupt.New("%s is empty", path)
	}
	database, contents, err := openChecked(path, info.Size())
	if err == nil && (contents.Identity.Cluster != cluster || contents.Identity.Format != formatVersion) {
		err = ErrForeign.New("%s belongs to cluster %q, format %d; expected cluster %q, format %d",
			folder, contents.Identity.Cluster, contents.Identity.Format, cluster, formatVersion)
	}
	if err != nil {
		if database != nil {
			database.Close()
		}
		return nil, Contents{}, err
	}
	store := &Store{database: database, folder: folder, databaseSnapshot: contents.databaseSnapshot, snapshotFileIndex: contents.snapshotFileIndex}
	if err := store.removeUnfinished(); err != nil {
		database.Close()
		return nil, Contents{}, err
	}
	return store, contents, nil
}

// openChecked opens the database and returns its contents. bbolt doesn't verify pages: it reads past the
// end of a truncated file and panics on invalid pages. Both are reported as corruption.
func openChecked(path string, size int64) (database *bolt.DB, contents Contents, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			database, err = nil, ErrCorrupt.New("%s: %v", path, reason)
		}
	}()
	opened, err := openSnapshotFile(filepath.Dir(path))
	if err != nil {
		return nil, contents, err
	}
	var fileSnapshot *consensus.Snapshot
	if opened != nil {
		fileSnapshot = &opened.snapshot
		if err := opened.Close(); err != nil {
			return nil, contents, ErrIO.Wrap(err, "close the snapshot file")
		}
	}
	database, err = bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, contents, ErrCorrupt.Wrap(err, "open %s", path)
	}
	err = database.View(func(transaction *bolt.Tx) error {
		if transaction.Size() > size {
			return ErrCorrupt.New("%s is truncated: it holds %d of %d bytes", path, size, transaction.Size())
		}
		contents, err = load(transaction, fileSnapshot)
		return err
	})
	return database, contents, err
}

// load reads the database; fileSnapshot is the snapshot in the snapshot file, or nil.
func load(transaction *bolt.Tx, fileSnapshot *consensus.Snapshot) (Contents, error) {
	var contents Contents
	meta, log, snapshots := transaction.Bucket(metaBucket), transaction.Bucket(logBucket), transaction.Bucket(snapshotBucket)
	if meta == nil || log == nil || snapshots == nil {
		return contents, ErrForeign.New("the database holds no replica")
	}
	if err := get(meta, identityKey, &contents.Identity); err != nil {
		return contents, err
	}
	if err := get(meta, stateKey, &contents.HardState); err != nil {
		return contents, err
	}
	if err := get(snapshots, snapshotKey, &contents.Snapshot); err != nil {
		return contents, err
	}
	contents.databaseSnapshot = contents.Snapshot
	if fileSnapshot != nil {
		contents.snapshotFileIndex = fileSnapshot.Index
	}
	if fileSnapshot != nil && fileSnapshot.Index > contents.Snapshot.Index {
		contents.Snapshot, contents.databaseSnapshot = *fileSnapshot, consensus.Snapshot{}
	}
	if needsFile(contents.databaseSnapshot) && contents.snapshotFileIndex < contents.databaseSnapshot.Index {
		return contents, ErrCorrupt.New("the file of the snapshot at %d is missing", contents.Snapshot.Index)
	}
	expected := contents.Snapshot.Index + 1
	cursor := log.Cursor()
	for key, value := cursor.Seek(indexKey(expected)); key != nil; key, value = cursor.Next() {
		var entry consensus.Entry
		if err := decode(value, &entry); err != nil {
			return contents, err
		}
		if entry.Index != expected || binary.BigEndian.Uint64(key) != expected {
			return contents, ErrCorrupt.New("log entry %d is missing", expected)
		}
		contents.Entries = append(contents.Entries, entry)
		expected++
	}
	if contents.HardState.Commit >= expected && contents.HardState.Commit > contents.Snapshot.Index {
		return contents, ErrCorrupt.New("log ends at %d before the committed entry %d", expected-1, contents.HardState.Commit)
	}
	return contents, nil
}

// Save persists a Ready and returns once it is synced. It returns an ErrNotReceived error, and changes nothing, if
// the Ready has a snapshot whose data is neither in it nor received.
func (s *Store) Save(ready consensus.Ready) error {
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		return nil
	}
	if ready.Snapshot != nil && (needsFile(*ready.Snapshot) || s.HasReceived(ready.Snapshot.Index)) {
		// The file is installed first. If the process then ends before the transaction, the log still holds
		// entries, which the snapshot covers or the leader will replace.
		if err := s.installReceived(ready.Snapshot.Index); err != nil {
			return err
		}
	}
	err := s.database.Update(func(transaction *bolt.Tx) error {
		meta, log := transaction.Bucket(metaBucket), transaction.Bucket(logBucket)
		if ready.Snapshot != nil {
			if err := saveSnapshot(transaction.Bucket(snapshotBucket), log, *ready.Snapshot, false); err != nil {
				return err
			}
		}
		if ready.HardState != nil {
			if err := put(meta, stateKey, *ready.HardState); err != nil {
				return err
			}
		}
		return appendEntries(log, ready.Entries)
	})
	if err != nil {
		return ErrIO.Wrap(err, "save")
	}
	if ready.Snapshot != nil {
		s.setDatabaseSnapshot(*ready.Snapshot)
	}
	return nil
}

// initialIndex is the index of a group's initial snapshot, which has no data.
const initialIndex = 1

// needsFile reports whether the data of the snapshot in the database is in the snapshot file.
func needsFile(fromDatabase consensus.Snapshot) bool {
	return fromDatabase.Index > initialIndex && fromDatabase.Data == nil
}

func (s *Store) setDatabaseSnapshot(snapshot consensus.Snapshot) {
	s.mutex.Lock()
	s.databaseSnapshot = snapshot
	s.mutex.Unlock()
}

// SaveSnapshot persists a snapshot of applied entries and deletes the entries that it covers.
func (s *Store) SaveSnapshot(snapshot consensus.Snapshot) error {
	err := s.database.Update(func(transaction *bolt.Tx) error {
		return saveSnapshot(transaction.Bucket(snapshotBucket), transaction.Bucket(logBucket), snapshot, true)
	})
	if err != nil {
		return ErrIO.Wrap(err, "save snapshot")
	}
	s.setDatabaseSnapshot(snapshot)
	return nil
}

// Close closes the store.
func (s *Store) Close() error { return s.database.Close() }

// saveSnapshot stores the snapshot and deletes the entries up to it, or all entries unless
// keepLaterEntries is set.
func saveSnapshot(snapshots, log *bolt.Bucket, snapshot consensus.Snapshot, keepLaterEntries bool) error {
	if err := put(snapshots, snapshotKey, snapshot); err != nil {
		return err
	}
	if keepLaterEntries {
		return dropEntries(log, snapshot.Index)
	}
	return dropEntries(log, math.MaxUint64)
}

// dropEntries deletes the entries up to the index.
func dropEntries(log *bolt.Bucket, through uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= through; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// appendEntries stores the entries and deletes stored ones that they replace.
func appendEntries(log *bolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(entries[0].Index)); key != nil; key, _ = cursor.Seek(indexKey(entries[0].Index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	// Entries are only appended, so pages can be filled completely.
	log.FillPercent = 1
	for _, entry := range entries {
		if err := put(log, indexKey(entry.Index), entry); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func put(bucket *bolt.Bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, addChecksum(data))
}

// addChecksum returns the data preceded by its checksum.
func addChecksum(data []byte) []byte {
	checked := binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(data)), crc32.Checksum(data, castagnoli))
	return append(checked, data...)
}

func get(bucket *bolt.Bucket, key []byte, value any) error {
	record := bucket.Get(key)
	if record == nil {
		return ErrCorrupt.New("record %q is missing", key)
	}
	return decode(record, value)
}

func decode(record []byte, value any) error {
	if len(record) < checksumSize {
		return ErrCorrupt.New("a record is only %d bytes long", len(record))
	}
	data := record[checksumSize:]
	if binary.BigEndian.Uint32(record) != crc32.Checksum(data, castagnoli) {
		return ErrCorrupt.New("checksum mismatch in a record")
	}
	if err := cbor.Unmarshal(data, value); err != nil {
		return ErrCorrupt.Wrap(err, "decode a record")
	}
	return nil
}
