package replica

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// TestJoinRequiresKnownVersion: once a version is required, only replicas that support it are admitted.
func TestJoinRequiresKnownVersion(t *testing.T) {
	g := newSeededGroup(t)
	before := g.leader().core.raft.Membership().Members
	g.leader().core.RequireVersion(2)
	g.leader().core.RequireVersion(1)
	joins := func(knows uint64) bool {
		g.leader().core.Receive(protocol.Message{From: "new", Join: &protocol.Join{ID: 900, Address: "new", Knows: knows}})
		g.flush(g.leader())
		g.steps(2)
		_, isMember := g.leader().core.raft.Membership().Member(900)
		return isMember
	}
	require.False(t, joins(0))
	require.False(t, joins(1), "the required version must not decrease")
	require.Equal(t, before, g.leader().core.raft.Membership().Members)
	require.True(t, joins(2))
}

// unreadableMachine fails to apply one of its commands.
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

// TestReplicaStopsAtInapplicableCommand: a replica fails rather than diverge from the others.
func TestReplicaStopsAtInapplicableCommand(t *testing.T) {
	machine := &unreadableMachine{}
	core, err := NewCore(CoreConfig{Consensus: consensus.Config{ID: 1, ElectionTicks: 8, HeartbeatTicks: 2}}, machine, bytes.NewReader(nil))
	require.NoError(t, err)
	apply := func(command string) error {
		return core.Advance(consensus.Ready{Committed: []consensus.Entry{{Index: 1, Term: 1, Data: []byte(command)}}}, nil)
	}
	require.NoError(t, apply("known"))
	require.ErrorIs(t, apply("later"), io.ErrUnexpectedEOF)
}
