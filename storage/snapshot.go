package storage

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/dillchute/dillchute/consensus"
)

// The snapshot file holds a snapshot of applied entries. It is written separately from the log, so that its
// size does not delay the log, and as a stream, so that it need not fit in memory. It is used if it is newer
// than the snapshot in the database. It consists of a length-prefixed header, the data, and the checksum
// of both.
const (
	snapshotFileName  = "snapshot"
	lengthPrefixBytes = 4
	maxHeaderBytes    = 1 << 20
)

// WriteSnapshot makes a snapshot durable, with the data that the function writes, and returns the size of
// the data. It may be called concurrently with other methods. The caller then calls DropLog to delete
// the entries that it covers.
func (s *Store) WriteSnapshot(snapshot consensus.Snapshot, write func(io.Writer) error) (int, error) {
	path := filepath.Join(s.folder, snapshotFileName)
	size, err := writeSnapshotFile(path+unfinishedSuffix, snapshot, write)
	if err != nil {
		return 0, ErrIO.Wrap(err, "write %s", path)
	}
	s.filesMutex.Lock()
	defer s.filesMutex.Unlock()
	if s.snapshotFileIndex >= snapshot.Index {
		// A newer snapshot from another replica was installed meanwhile.
		return size, os.Remove(path + unfinishedSuffix)
	}
	if err := os.Rename(path+unfinishedSuffix, path); err != nil {
		return 0, ErrIO.Wrap(err, "rename the new snapshot to %s", path)
	}
	if err := syncFolder(s.folder); err != nil {
		return 0, err
	}
	s.snapshotFileIndex = snapshot.Index
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.databaseSnapshot.Index < snapshot.Index {
		s.databaseSnapshot = consensus.Snapshot{}
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
	checksummed := &checksumWriter{writer: buffered}
	snapshot.Data = nil
	header, err := cbor.Marshal(snapshot)
	if err != nil {
		return 0, err
	}
	if _, err := checksummed.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(header))), header...)); err != nil {
		return 0, err
	}
	headerSize := checksummed.written
	if err := write(checksummed); err != nil {
		return 0, err
	}
	if _, err := buffered.Write(binary.BigEndian.AppendUint32(nil, checksummed.sum)); err != nil {
		return 0, err
	}
	if err := buffered.Flush(); err != nil {
		return 0, err
	}
	return checksummed.written - headerSize, file.Sync()
}

// checksumWriter forwards writes and computes their checksum.
type checksumWriter struct {
	writer  io.Writer
	sum     uint32
	written int
}

// Write implements io.Writer.
func (w *checksumWriter) Write(data []byte) (int, error) {
	w.sum = crc32.Update(w.sum, castagnoli, data)
	w.written += len(data)
	return w.writer.Write(data)
}

// snapshotReader reads the data of a snapshot file whose checksum has been verified.
type snapshotReader struct {
	snapshot consensus.Snapshot
	file     *os.File
	data     io.Reader
	size     int64
}

// Read implements io.Reader.
func (r *snapshotReader) Read(buffer []byte) (int, error) { return r.data.Read(buffer) }

// Close implements io.Closer.
func (r *snapshotReader) Close() error { return r.file.Close() }

// openSnapshotFile opens and verifies the folder's snapshot file. It returns nil if there is none.
func openSnapshotFile(folder string) (*snapshotReader, error) {
	return openSnapshot(filepath.Join(folder, snapshotFileName))
}

// openSnapshot opens and verifies a snapshot file. It returns nil if there is none.
func openSnapshot(path string) (*snapshotReader, error) {
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
		return nil, ErrCorrupt.Wrap(err, "read %s", path)
	}
	return opened, nil
}

func checkSnapshotFile(file *os.File) (*snapshotReader, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	checksummedSize := info.Size() - checksumSize
	if checksummedSize < lengthPrefixBytes {
		return nil, ErrCorrupt.New("the file is only %d bytes long", info.Size())
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, checksummedSize)); err != nil {
		return nil, err
	}
	var stored [checksumSize]byte
	if _, err := file.ReadAt(stored[:], checksummedSize); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(stored[:]) != sum.Sum32() {
		return nil, ErrCorrupt.New("checksum mismatch in the file")
	}
	return readHeader(file, checksummedSize)
}

func readHeader(file *os.File, checksummedSize int64) (*snapshotReader, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := file.ReadAt(prefix[:], 0); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(prefix[:]))
	if length > maxHeaderBytes || lengthPrefixBytes+length > checksummedSize {
		return nil, ErrCorrupt.New("invalid header length %d", length)
	}
	header := make([]byte, length)
	if _, err := file.ReadAt(header, lengthPrefixBytes); err != nil {
		return nil, err
	}
	opened := &snapshotReader{file: file, size: checksummedSize - lengthPrefixBytes - length}
	if err := cbor.Unmarshal(header, &opened.snapshot); err != nil {
		return nil, ErrCorrupt.Wrap(err, "decode the header")
	}
	opened.data = bufio.NewReader(io.NewSectionReader(file, lengthPrefixBytes+length, opened.size))
	return opened, nil
}

// openNewest opens the snapshot file if it holds the newest snapshot. Otherwise it returns nil and the
// snapshot in the database. It returns an ErrCorrupt error if the newest snapshot has no data although it is not
// the initial one.
func (s *Store) openNewest() (*snapshotReader, consensus.Snapshot, error) {
	s.mutex.Lock()
	fromDatabase := s.databaseSnapshot
	s.mutex.Unlock()
	opened, err := openSnapshotFile(s.folder)
	if err != nil {
		return nil, fromDatabase, err
	}
	if opened != nil && opened.snapshot.Index >= fromDatabase.Index {
		return opened, consensus.Snapshot{}, nil
	}
	if opened != nil {
		if err := opened.Close(); err != nil {
			return nil, fromDatabase, ErrIO.Wrap(err, "close the snapshot file")
		}
	}
	if needsFile(fromDatabase) {
		return nil, fromDatabase, ErrCorrupt.New("the file of the snapshot at %d is missing", fromDatabase.Index)
	}
	return nil, fromDatabase, nil
}

// OpenSnapshot returns the newest snapshot without its data, and a reader and the size of the data. It may
// be called concurrently with other methods.
func (s *Store) OpenSnapshot() (consensus.Snapshot, io.ReadCloser, int64, error) {
	opened, fromDatabase, err := s.openNewest()
	if err != nil {
		return consensus.Snapshot{}, nil, 0, err
	}
	if opened != nil {
		return opened.snapshot, opened, opened.size, nil
	}
	data := fromDatabase.Data
	fromDatabase.Data = nil
	return fromDatabase, io.NopCloser(bytes.NewReader(data)), int64(len(data)), nil
}

// DropLog deletes the entries up to the index, which a durable snapshot covers.
func (s *Store) DropLog(through uint64) error {
	err := s.database.Update(func(transaction *bolt.Tx) error {
		return dropEntries(transaction.Bucket(logBucket), through)
	})
	if err != nil {
		return ErrIO.Wrap(err, "drop the log")
	}
	return nil
}
