package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/consensus"
)

const reservationFileName = "reservation"

// ReserveIdentity records the identity under which a process without a replica offers itself as an initial
// member, so that it keeps the identity if it is restarted before the group is formed.
func ReserveIdentity(folder, cluster string, replica consensus.ReplicaID) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return ErrIO.Wrap(err, "create data folder %s", folder)
	}
	data, err := cbor.Marshal(Identity{Format: formatVersion, Cluster: cluster, Replica: replica})
	if err != nil {
		panic("storage: encode identity: " + err.Error())
	}
	path := filepath.Join(folder, reservationFileName)
	if err := writeSynced(path+".new", addChecksum(data)); err != nil {
		return ErrIO.Wrap(err, "write %s", path)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return ErrIO.Wrap(err, "write %s", path)
	}
	return syncFolder(folder)
}

// ReservedIdentity returns the reserved identity, or None if there is none, it is corrupt or it belongs to
// another cluster or format.
func ReservedIdentity(folder, cluster string) (consensus.ReplicaID, error) {
	data, err := os.ReadFile(filepath.Join(folder, reservationFileName))
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
