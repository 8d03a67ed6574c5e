package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/consensus"
)

const reservationName = "reservation"

// Reserve makes durable, in a folder that holds no replica yet, under which
// identity its process has offered itself as a founder of a group. A process
// that is restarted before the group is formed can offer itself again: it has
// never had anything to lose.
func Reserve(folder, cluster string, replica consensus.ReplicaID) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return ErrIO.Wrap(err, "make data folder %s", folder)
	}
	data, err := cbor.Marshal(Identity{Format: formatVersion, Cluster: cluster, Replica: replica})
	if err != nil {
		panic("storage: an identity must encode: " + err.Error())
	}
	path := filepath.Join(folder, reservationName)
	if err := writeSynced(path+".new", record(data)); err != nil {
		return ErrIO.Wrap(err, "write %s", path)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return ErrIO.Wrap(err, "write %s", path)
	}
	return syncFolder(folder)
}

// Reserved returns the identity that was reserved in the folder, or None if
// there is none that is whole and of the cluster.
func Reserved(folder, cluster string) (consensus.ReplicaID, error) {
	data, err := os.ReadFile(filepath.Join(folder, reservationName))
	if errors.Is(err, fs.ErrNotExist) {
		return consensus.None, nil
	}
	if err != nil {
		return consensus.None, ErrIO.Wrap(err, "read the reservation in %s", folder)
	}
	var identity Identity
	if decode(data, &identity) != nil || identity.Cluster != cluster || identity.Format != formatVersion {
		return consensus.None, nil
	}
	return identity.Replica, nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
