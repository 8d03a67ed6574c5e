package replica

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// TestOnlyThoseAreLetInWhoKnowTheVersion: once a version is used, a process of a build that does not
// know it stays outside, whichever replica it asks, and one that knows it is let in.
func TestOnlyThoseAreLetInWhoKnowTheVersion(t *testing.T) {
	g := newSeededGroup(t)
	before := g.leader().core.raft.Membership().Members
	g.leader().core.Require(2)
	g.leader().core.Require(1)
	asks := func(knows uint64) bool {
		g.leader().core.Receive(protocol.Message{From: "new", Join: &protocol.Join{ID: 900, Address: "new", Knows: knows}})
		g.flush(g.leader())
		g.steps(2)
		_, isMember := g.leader().core.raft.Membership().Member(900)
		return isMember
	}
	require.False(t, asks(0))
	require.False(t, asks(1), "a version is never lowered")
	require.Equal(t, before, g.leader().core.raft.Membership().Members)
	require.True(t, asks(2))
}

// unreadableMachine cannot apply one of its commands.
type unreadableMachine struct{ err error }

func (m *unreadableMachine) Apply(command []byte) []byte {
	if bytes.Equal(command, []byte("later")) {
		m.err = io.ErrUnexpectedEOF
	}
	return nil
}

func (m *unreadableMachine) Snapshot() func(io.Writer) error {
	return func(io.Writer) error { return nil }
}
func (m *unreadableMachine) Restore(io.Reader) error { return nil }
func (m *unreadableMachine) Err() error              { return m.err }

// TestReplicaStopsAtWhatItCannotApply: the replica fails instead of going on with another state than
// the others.
func TestReplicaStopsAtWhatItCannotApply(t *testing.T) {
	machine := &unreadableMachine{}
	core, err := NewCore(CoreConfig{Consensus: consensus.Config{ID: 1, ElectionTicks: 8, HeartbeatTicks: 2}}, machine, bytes.NewReader(nil))
	require.NoError(t, err)
	committed := func(command string) error {
		return core.Advance(consensus.Ready{Committed: []consensus.Entry{{Index: 1, Term: 1, Data: []byte(command)}}}, nil)
	}
	require.NoError(t, committed("known"))
	require.ErrorIs(t, committed("later"), io.ErrUnexpectedEOF)
}
