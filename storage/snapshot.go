package storage

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/dillchute/dillchute/consensus"
)

// snapshotFile holds a snapshot of applied entries, written beside the log so
// that its size does not hold the log up, and piece by piece so that it need not
// be in memory. It counts if it is newer than the snapshot in the log's file.
// The file is a length-prefixed header, the data, and the checksum of both.
const (
	snapshotFile   = "snapshot"
	headerLength   = 4
	maxHeaderBytes = 1 << 20
)

// WriteSnapshot makes a snapshot durable, whose data the function writes, and
// returns the data's size. It may be called while other methods run. The log
// that it covers is dropped by DropLog afterwards.
func (s *Store) WriteSnapshot(snapshot consensus.Snapshot, write func(io.Writer) error) (int, error) {
	path := filepath.Join(s.folder, snapshotFile)
	size, err := writeSnapshotFile(path+".new", snapshot, write)
	if err != nil {
		return 0, ErrIO.Wrap(err, "write %s", path)
	}
	s.files.Lock()
	defer s.files.Unlock()
	if s.fileIndex >= snapshot.Index {
		// Another replica's snapshot has come in meanwhile.
		return size, os.Remove(path + ".new")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, ErrIO.Wrap(err, "name %s", path)
	}
	if err := syncFolder(s.folder); err != nil {
		return 0, err
	}
	s.fileIndex = snapshot.Index
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inLog.Index < snapshot.Index {
		s.inLog = consensus.Snapshot{}
	}
	return size, nil
}

func writeSnapshotFile(path string, snapshot consensus.Snapshot, write func(io.Writer) error) (size int, err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	buffered := bufio.NewWriter(file)
	checked := &checksumWriter{writer: buffered}
	snapshot.Data = nil
	header, err := cbor.Marshal(snapshot)
	if err != nil {
		return 0, err
	}
	if _, err := checked.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(header))), header...)); err != nil {
		return 0, err
	}
	before := checked.written
	if err := write(checked); err != nil {
		return 0, err
	}
	if _, err := buffered.Write(binary.BigEndian.AppendUint32(nil, checked.sum)); err != nil {
		return 0, err
	}
	if err := buffered.Flush(); err != nil {
		return 0, err
	}
	return checked.written - before, file.Sync()
}

// checksumWriter passes bytes on and sums them up.
type checksumWriter struct {
	writer  io.Writer
	sum     uint32
	written int
}

// Write passes the bytes on.
func (w *checksumWriter) Write(data []byte) (int, error) {
	w.sum = crc32.Update(w.sum, castagnoli, data)
	w.written += len(data)
	return w.writer.Write(data)
}

// openedSnapshot is a snapshot file whose checksum is right, read up to its data.
type openedSnapshot struct {
	snapshot consensus.Snapshot
	file     *os.File
	data     io.Reader
	size     int64
}

// Read reads the data.
func (o *openedSnapshot) Read(into []byte) (int, error) { return o.data.Read(into) }

// Close closes the file.
func (o *openedSnapshot) Close() error { return o.file.Close() }

// openSnapshotFile opens the folder's snapshot file and checks it. It returns
// nil if there is none.
func openSnapshotFile(folder string) (*openedSnapshot, error) {
	path := filepath.Join(folder, snapshotFile)
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, ErrIO.Wrap(err, "open %s", path)
	}
	opened, err := checkSnapshotFile(file)
	if err != nil {
		file.Close()
		return nil, ErrDamaged.Wrap(err, "read %s", path)
	}
	return opened, nil
}

func checkSnapshotFile(file *os.File) (*openedSnapshot, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	covered := info.Size() - checksumSize
	if covered < headerLength {
		return nil, ErrDamaged.New("the file is %d bytes long", info.Size())
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, covered)); err != nil {
		return nil, err
	}
	var stored [checksumSize]byte
	if _, err := file.ReadAt(stored[:], covered); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(stored[:]) != sum.Sum32() {
		return nil, ErrDamaged.New("the file fails its checksum")
	}
	return readHeader(file, covered)
}

func readHeader(file *os.File, covered int64) (*openedSnapshot, error) {
	var prefix [headerLength]byte
	if _, err := file.ReadAt(prefix[:], 0); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(prefix[:]))
	if length > maxHeaderBytes || headerLength+length > covered {
		return nil, ErrDamaged.New("a header of %d bytes", length)
	}
	header := make([]byte, length)
	if _, err := file.ReadAt(header, headerLength); err != nil {
		return nil, err
	}
	opened := &openedSnapshot{file: file, size: covered - headerLength - length}
	if err := cbor.Unmarshal(header, &opened.snapshot); err != nil {
		return nil, ErrDamaged.Wrap(err, "decode the header")
	}
	opened.data = bufio.NewReader(io.NewSectionReader(file, headerLength+length, opened.size))
	return opened, nil
}

// newest returns the snapshot file, opened, if it holds the newest snapshot, and
// otherwise nil and the one in the log's file.
func (s *Store) newest() (*openedSnapshot, consensus.Snapshot, error) {
	s.mutex.Lock()
	inLog := s.inLog
	s.mutex.Unlock()
	opened, err := openSnapshotFile(s.folder)
	if err != nil || opened == nil {
		return nil, inLog, err
	}
	if opened.snapshot.Index < inLog.Index {
		return nil, inLog, opened.Close()
	}
	return opened, consensus.Snapshot{}, nil
}

// OpenSnapshot returns the newest snapshot, without its data, and the data and its
// size. It may be called while other methods run.
func (s *Store) OpenSnapshot() (consensus.Snapshot, io.ReadCloser, int64, error) {
	opened, inLog, err := s.newest()
	if err != nil {
		return consensus.Snapshot{}, nil, 0, err
	}
	if opened != nil {
		return opened.snapshot, opened, opened.size, nil
	}
	data := inLog.Data
	inLog.Data = nil
	return inLog, io.NopCloser(bytes.NewReader(data)), int64(len(data)), nil
}

// receivedPath is where another replica's snapshot waits for a Save.
func (s *Store) receivedPath(index uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s.received-%d", snapshotFile, index))
}

// ReceiveSnapshot keeps another replica's snapshot, whose data has the size, until
// a Save names it. It may be called while other methods run.
func (s *Store) ReceiveSnapshot(snapshot consensus.Snapshot, data io.Reader, size int64) error {
	s.files.Lock()
	defer s.files.Unlock()
	path := s.receivedPath(snapshot.Index)
	_, err := writeSnapshotFile(path+".new", snapshot, func(writer io.Writer) error {
		copied, err := io.Copy(writer, io.LimitReader(data, size))
		if err == nil && copied < size {
			err = io.ErrUnexpectedEOF
		}
		return err
	})
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return ErrIO.Wrap(err, "receive a snapshot")
	}
	return nil
}

func (s *Store) hasReceived(index uint64) bool {
	_, err := os.Stat(s.receivedPath(index))
	return err == nil
}

// adoptReceived makes the received snapshot the newest one, and forgets others
// that were received.
func (s *Store) adoptReceived(index uint64) error {
	s.files.Lock()
	defer s.files.Unlock()
	if err := os.Rename(s.receivedPath(index), filepath.Join(s.folder, snapshotFile)); err != nil {
		return ErrIO.Wrap(err, "adopt the snapshot at %d", index)
	}
	s.fileIndex = index
	s.removeReceived()
	return syncFolder(s.folder)
}

// removeReceived forgets snapshots that were received and never used.
func (s *Store) removeReceived() {
	left, err := filepath.Glob(filepath.Join(s.folder, snapshotFile+".received-*"))
	if err != nil {
		return
	}
	for _, path := range left {
		// What cannot be removed is in nobody's way.
		_ = os.Remove(path)
	}
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
