package server

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
)

// newTestWatcher returns a watcher whose settings name the seeds.
func newTestWatcher(t *testing.T, seeds ...string) *Watcher {
	logger := zerolog.Nop()
	process := config.DefaultGateway().Process
	process.Peers = seeds
	load := func() (config.Process, error) { return process, nil }
	return NewWatcher(NewSeeds(process, load, &logger), 0, &logger)
}

func membersAt(addresses ...string) []consensus.Member {
	var members []consensus.Member
	for position, address := range addresses {
		members = append(members, consensus.Member{ID: consensus.ReplicaID(position + 1), Address: address, Voter: true})
	}
	return members
}

// TestMembersAreReplacedOneByOne: a watcher learns of members that have taken the places of
// others, also where their number and the revision stay the same.
func TestMembersAreReplacedOneByOne(t *testing.T) {
	w := newTestWatcher(t, "10.0.0.9:70")
	w.take(w.Catalog(), directory.Delta{Revision: 5, Full: true, Version: 2, Replicas: membersAt("10.0.0.1:70", "10.0.0.2:70")})
	w.take(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	require.Equal(t, []string{"10.0.0.1:70", "10.0.0.3:70", "10.0.0.9:70"}, w.addresses())
	require.Equal(t, uint64(2), w.Catalog().Version, "the configuration stays")

	before := w.Changed()
	w.take(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	select {
	case <-before:
		t.Fatal("nothing has changed")
	default:
	}
}
