package golden

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Machine is a replicated state machine.
type Machine interface {
	Apply(entry []byte) []byte
	Snapshot() func(io.Writer) error
	Restore(reader io.Reader) error
}

// Log is a log written by an earlier build, with the results of applying it.
type Log struct {
	Entries []string `json:"entries"`
	// Results are the results of applying the entries.
	Results  []string `json:"results"`
	Snapshot string   `json:"snapshot"`
	// Hash is the SHA-256 of the snapshot.
	Hash string `json:"hash"`
}

// CheckLog applies the logs of earlier builds and compares results and state with those recorded.
// With -golden.write it records a log of the entries instead. It calls checkMachine with each file
// and the machine that has applied its log.
func CheckLog(t *testing.T, newMachine func() Machine, entries [][]byte, checkMachine func(t *testing.T, file string, machine Machine)) {
	if file, ok := OutputFile(); ok {
		log, machine := recordLog(t, newMachine, entries)
		WriteJSON(t, file, log)
		checkMachine(t, file, machine)
		return
	}
	for _, file := range Files(t, "log-*.json") {
		t.Run(filepath.Base(file), func(t *testing.T) {
			var log Log
			ReadJSON(t, file, &log)
			checkMachine(t, file, checkLog(t, newMachine, log))
		})
	}
}

func recordLog(t *testing.T, newMachine func() Machine, entries [][]byte) (Log, Machine) {
	machine, log := newMachine(), Log{}
	for _, entry := range entries {
		log.Entries = append(log.Entries, hex.EncodeToString(entry))
		log.Results = append(log.Results, hex.EncodeToString(machine.Apply(entry)))
	}
	snapshot := snapshotOf(t, machine)
	log.Snapshot, log.Hash = hex.EncodeToString(snapshot), hashOf(snapshot)
	return log, machine
}

func checkLog(t *testing.T, newMachine func() Machine, log Log) Machine {
	machine := newMachine()
	require.NotEmpty(t, log.Entries)
	for position, entry := range log.Entries {
		require.Equal(t, log.Results[position], hex.EncodeToString(machine.Apply(DecodeHex(t, entry))), "the result of entry %d", position)
	}
	expected := DecodeHex(t, log.Snapshot)
	require.Equal(t, log.Hash, hashOf(expected))
	actual := snapshotOf(t, machine)
	require.Equal(t, Canonical(t, expected), Canonical(t, actual), "the state after the log")
	require.Equal(t, log.Hash, hashOf(actual))
	restored := newMachine()
	require.NoError(t, restored.Restore(bytes.NewReader(expected)))
	require.Equal(t, actual, snapshotOf(t, restored), "the state from the snapshot")
	return machine
}

func snapshotOf(t *testing.T, machine Machine) []byte {
	var snapshot bytes.Buffer
	require.NoError(t, machine.Snapshot()(&snapshot))
	return snapshot.Bytes()
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeHex decodes hexadecimal text.
func DecodeHex(t *testing.T, text string) []byte {
	data, err := hex.DecodeString(text)
	require.NoError(t, err)
	return data
}
