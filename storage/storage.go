// Package storage keeps a control replica's log, hard state and newest
// snapshot in one bbolt file of its data folder. Each record carries a
// checksum, each save is one transaction, and a save that has returned is synced.
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

// The kinds of storage errors.
var (
	namespace = errorx.NewNamespace("storage")
	// ErrDamaged: a record is missing or fails its checksum.
	ErrDamaged = namespace.NewType("damaged")
	// ErrForeign: the folder is not a data folder of this cluster or format.
	ErrForeign = namespace.NewType("foreign")
	// ErrExists: the folder has been initialised before.
	ErrExists = namespace.NewType("exists")
	// ErrMissing: the folder has not been initialised.
	ErrMissing = namespace.NewType("missing")
	// ErrIO: the file system refused.
	ErrIO = namespace.NewType("io")
)

const (
	fileName      = "control.db"
	fileMode      = 0o600
	folderMode    = 0o700
	formatVersion = 2
	lockTimeout   = time.Second
	checksumSize  = 4
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	// The snapshot has a bucket of its own: bbolt writes all values of a page
	// again when one changes, and the hard state changes with almost each save.
	snapshotBucket = []byte("snapshot")
	identityKey    = []byte("identity")
	stateKey       = []byte("hard-state")
	snapshotKey    = []byte("snapshot")
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
)

// Identity says whose data a folder holds.
type Identity struct {
	Format  int                 `cbor:"1,keyasint"`
	Cluster string              `cbor:"2,keyasint"`
	Replica consensus.ReplicaID `cbor:"3,keyasint"`
}

// Contents is what a store held when it was opened.
type Contents struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	// inLog is the snapshot in the log's file, which Snapshot is unless the
	// snapshot file holds a newer one.
	inLog consensus.Snapshot
}

// Store is an open data folder. Its methods must not be called concurrently,
// but for WriteSnapshot.
type Store struct {
	database *bolt.DB
	folder   string
	// files is held while snapshot files change. fileIndex is the index of the
	// newest one.
	files     sync.Mutex
	fileIndex uint64

	mutex sync.Mutex
	// inLog is the snapshot in the log's file, unless the snapshot file holds a
	// newer one.
	inLog consensus.Snapshot
}

// Holds tells whether the folder holds a replica, whole or damaged.
func Holds(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, fileName))
	return err == nil
}

// Init makes a new data folder for a replica of the cluster, which starts from
// the snapshot. It returns an ErrExists error if the folder holds one already.
func Init(folder, cluster string, replica consensus.ReplicaID, snapshot consensus.Snapshot) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return ErrIO.Wrap(err, "make data folder %s", folder)
	}
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err == nil {
		return ErrExists.New("%s has been initialised before", folder)
	}
	// The file gets its name once it is whole, so that a set-up which was cut
	// short is never taken for a replica.
	unnamed := path + ".new"
	if err := os.Remove(unnamed); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return ErrIO.Wrap(err, "remove %s", unnamed)
	}
	database, err := bolt.Open(unnamed, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return ErrIO.Wrap(err, "create %s", unnamed)
	}
	err = database.Update(func(transaction *bolt.Tx) error {
		return initBuckets(transaction, Identity{Format: formatVersion, Cluster: cluster, Replica: replica}, snapshot)
	})
	if closeErr := database.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(unnamed, path)
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

// Open opens a data folder of the cluster and returns what it holds. It
// returns an ErrMissing, ErrForeign or ErrDamaged error for a folder that must
// not be used.
func Open(folder, cluster string) (*Store, Contents, error) {
	path := filepath.Join(folder, fileName)
	info, err := os.Stat(path)
	if err != nil {
		return nil, Contents{}, ErrMissing.New("%s holds no replica: run 'dillchute control init' or 'join' first", folder)
	}
	if info.Size() == 0 {
		// bbolt would make an empty file into a new database.
		return nil, Contents{}, ErrDamaged.New("%s is empty", path)
	}
	database, contents, err := openGuarded(path, info.Size())
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
	return &Store{database: database, folder: folder, inLog: contents.inLog, fileIndex: contents.Snapshot.Index}, contents, nil
}

// openGuarded opens the file and returns what it holds. bbolt trusts its pages:
// it reads past the end of a truncated file and panics on pages that make no
// sense, and either is a damaged file here.
func openGuarded(path string, size int64) (database *bolt.DB, contents Contents, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			database, err = nil, ErrDamaged.New("%s: %v", path, reason)
		}
	}()
	opened, err := openSnapshotFile(filepath.Dir(path))
	if err != nil {
		return nil, contents, err
	}
	var newer *consensus.Snapshot
	if opened != nil {
		newer = &opened.snapshot
		if err := opened.Close(); err != nil {
			return nil, contents, ErrIO.Wrap(err, "close the snapshot")
		}
	}
	database, err = bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, contents, ErrDamaged.Wrap(err, "open %s", path)
	}
	err = database.View(func(transaction *bolt.Tx) error {
		if transaction.Size() > size {
			return ErrDamaged.New("%s is truncated: it holds %d of %d bytes", path, size, transaction.Size())
		}
		contents, err = load(transaction, newer)
		return err
	})
	return database, contents, err
}

// load reads what the file holds; newer is a snapshot in a file of its own, or nil.
func load(transaction *bolt.Tx, newer *consensus.Snapshot) (Contents, error) {
	var contents Contents
	meta, log, snapshots := transaction.Bucket(metaBucket), transaction.Bucket(logBucket), transaction.Bucket(snapshotBucket)
	if meta == nil || log == nil || snapshots == nil {
		return contents, ErrForeign.New("the file holds no replica")
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
	contents.inLog = contents.Snapshot
	if newer != nil && newer.Index > contents.Snapshot.Index {
		contents.Snapshot, contents.inLog = *newer, consensus.Snapshot{}
	}
	if contents.lacksData(newer) {
		return contents, ErrDamaged.New("the file of the snapshot at %d is missing", contents.Snapshot.Index)
	}
	expected := contents.Snapshot.Index + 1
	cursor := log.Cursor()
	for key, value := cursor.Seek(indexKey(expected)); key != nil; key, value = cursor.Next() {
		var entry consensus.Entry
		if err := decode(value, &entry); err != nil {
			return contents, err
		}
		if entry.Index != expected || binary.BigEndian.Uint64(key) != expected {
			return contents, ErrDamaged.New("log entry %d is missing", expected)
		}
		contents.Entries = append(contents.Entries, entry)
		expected++
	}
	if contents.HardState.Commit >= expected && contents.HardState.Commit > contents.Snapshot.Index {
		return contents, ErrDamaged.New("log ends at %d before the committed entry %d", expected-1, contents.HardState.Commit)
	}
	return contents, nil
}

// Save persists what a Ready asks for and returns once it is synced.
func (s *Store) Save(ready consensus.Ready) error {
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		return nil
	}
	if ready.Snapshot != nil && s.hasReceived(ready.Snapshot.Index) {
		// The file comes first: if the log is then not cut any more, it holds
		// entries that the snapshot covers, or that the leader will replace.
		if err := s.adoptReceived(ready.Snapshot.Index); err != nil {
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
		s.setInLog(*ready.Snapshot)
	}
	return nil
}

// firstIndex is the index of the snapshot that a group begins with, which has no data.
const firstIndex = 1

// lacksData tells whether the snapshot's data should be in a file and is not.
func (c Contents) lacksData(file *consensus.Snapshot) bool {
	if c.inLog.Index <= firstIndex || c.inLog.Data != nil {
		return false
	}
	return file == nil || file.Index < c.inLog.Index
}

func (s *Store) setInLog(snapshot consensus.Snapshot) {
	s.mutex.Lock()
	s.inLog = snapshot
	s.mutex.Unlock()
}

// SaveSnapshot persists a snapshot of applied entries and drops those entries.
func (s *Store) SaveSnapshot(snapshot consensus.Snapshot) error {
	err := s.database.Update(func(transaction *bolt.Tx) error {
		return saveSnapshot(transaction.Bucket(snapshotBucket), transaction.Bucket(logBucket), snapshot, true)
	})
	if err != nil {
		return ErrIO.Wrap(err, "save snapshot")
	}
	s.setInLog(snapshot)
	return nil
}

// Close closes the store.
func (s *Store) Close() error { return s.database.Close() }

// saveSnapshot stores the snapshot and drops the entries up to it, or all
// entries if the snapshot replaces the log.
func saveSnapshot(snapshots, log *bolt.Bucket, snapshot consensus.Snapshot, keepLater bool) error {
	if err := put(snapshots, snapshotKey, snapshot); err != nil {
		return err
	}
	if keepLater {
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

// appendEntries stores the entries and drops stored ones that they replace.
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
	// Entries are only appended, so pages can be filled whole.
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
	return bucket.Put(key, record(data))
}

// record returns the data behind its checksum.
func record(data []byte) []byte {
	checked := binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(data)), crc32.Checksum(data, castagnoli))
	return append(checked, data...)
}

func get(bucket *bolt.Bucket, key []byte, value any) error {
	record := bucket.Get(key)
	if record == nil {
		return ErrDamaged.New("record %q is missing", key)
	}
	return decode(record, value)
}

func decode(record []byte, value any) error {
	if len(record) < checksumSize {
		return ErrDamaged.New("a record is %d bytes long", len(record))
	}
	data := record[checksumSize:]
	if binary.BigEndian.Uint32(record) != crc32.Checksum(data, castagnoli) {
		return ErrDamaged.New("a record fails its checksum")
	}
	if err := cbor.Unmarshal(data, value); err != nil {
		return ErrDamaged.Wrap(err, "decode a record")
	}
	return nil
}
