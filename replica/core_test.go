package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
	_ "github.com/dillchute/dillchute/internal/fixedseed"
	"github.com/dillchute/dillchute/protocol"
)

// numbers is a state machine that appends each command's number to a list.
type numbers struct{ list []uint64 }

func (n *numbers) Apply(command []byte) []byte {
	n.list = append(n.list, binary.BigEndian.Uint64(command))
	return command
}

func (n *numbers) Snapshot() func(io.Writer) error {
	list := slices.Clone(n.list)
	return func(writer io.Writer) error {
		for _, number := range list {
			if _, err := writer.Write(binary.BigEndian.AppendUint64(nil, number)); err != nil {
				return err
			}
		}
		return nil
	}
}

func (n *numbers) Restore(reader io.Reader) error {
	n.list = nil
	data, err := io.ReadAll(reader)
	for ; len(data) >= 8; data = data[8:] {
		n.list = append(n.list, binary.BigEndian.Uint64(data))
	}
	return err
}

// process is one machine of a test group: the contents of its disk and, while it runs, its core.
type process struct {
	address  string
	identity consensus.ReplicaID
	state    consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	core     *Core
	machine  *numbers
	isolated bool
	// seeds are the addresses that it asks for admission; nil means all.
	seeds []string
	// job is a snapshot being written.
	job *SnapshotJob
}

// group is a set of processes on a network that drops messages to processes that are down or isolated.
type group struct {
	t         require.TestingT
	processes []*process
	inbox     []Outgoing
	nextID    uint64
	identity  consensus.ReplicaID
	// acknowledged are the numbers that a leader replied to with Done.
	acknowledged []uint64
	proposals    map[uint64]uint64
	voters       int
	standby      int
	// electionTicks is the group's election timeout.
	electionTicks int
}

func newGroup(t require.TestingT, initialCount, voters int) *group {
	return newGroupWith(t, initialCount, voters, 10)
}

func newGroupWith(t require.TestingT, initialCount, voters, electionTicks int) *group {
	g := &group{t: t, proposals: map[uint64]uint64{}, identity: 100, voters: voters, electionTicks: electionTicks}
	var membership consensus.Membership
	for number := range initialCount {
		address := fmt.Sprintf("m%d", number)
		membership.Members = append(membership.Members, consensus.Member{
			ID: consensus.ReplicaID(number + 1), Address: address, Voter: true,
		})
	}
	for number := range initialCount {
		p := &process{
			address: membership.Members[number].Address, identity: membership.Members[number].ID,
			snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: membership},
			state:    consensus.HardState{Term: 1, Commit: 1},
		}
		g.processes = append(g.processes, p)
		g.start(p)
	}
	return g
}

func (g *group) start(p *process) {
	p.machine, p.job = &numbers{}, nil
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: p.identity, ElectionTicks: g.electionTicks, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, Seed: uint64(p.identity),
			HardState: p.state, Snapshot: p.snapshot, Entries: slices.Clone(p.entries),
		},
		Address: p.address, Voters: g.voters, StandbyLearners: g.standby, SilentTicks: 30, SnapshotBytes: 1 << 20, SnapshotEntries: 40,
	}, p.machine, bytes.NewReader(p.snapshot.Data))
	require.NoError(g.t, err)
	p.core = core
}

// wipe stops a process, deletes its disk and gives it a new identity.
func (g *group) wipe(p *process) {
	g.identity++
	*p = process{address: p.address, identity: g.identity}
}

// addProcess starts a new machine with an empty disk.
func (g *group) addProcess() *process {
	g.identity++
	p := &process{address: fmt.Sprintf("m%d", len(g.processes)), identity: g.identity}
	g.processes = append(g.processes, p)
	g.start(p)
	return p
}

func (p *process) persist(ready consensus.Ready) {
	if ready.Snapshot != nil {
		p.snapshot, p.entries = *ready.Snapshot, nil
	}
	if ready.HardState != nil {
		p.state = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= first {
			p.entries = p.entries[:len(p.entries)-1]
		}
		p.entries = append(p.entries, ready.Entries...)
	}
}

func (g *group) flush(p *process) {
	for p.core.HasReady() {
		ready := p.core.Ready()
		p.persist(ready)
		var state io.Reader
		if ready.Snapshot != nil {
			state = bytes.NewReader(ready.Snapshot.Data)
		}
		require.NoError(g.t, p.core.Advance(ready, state))
		if job := p.core.TakeSnapshotJob(); job != nil {
			p.job = job
		}
	}
	g.finishSnapshot(p)
	for _, message := range p.core.TakeMessages() {
		if original := message.Message.Consensus; original != nil && original.Snapshot != nil {
			// The newest durable snapshot is added, as Replica does.
			copied, snapshot := *original, p.snapshot
			copied.Snapshot = &snapshot
			message.Message.Consensus = &copied
		}
		if !p.isolated {
			g.inbox = append(g.inbox, message)
		}
	}
	for _, reply := range p.core.TakeReplies() {
		if number, ok := g.proposals[reply.ID]; ok && reply.Outcome == Done {
			g.acknowledged = append(g.acknowledged, number)
		}
		delete(g.proposals, reply.ID)
	}
}

// finishSnapshot makes a snapshot durable some entries after it was taken.
func (g *group) finishSnapshot(p *process) {
	if p.job == nil || p.core.Raft().Commit() < p.job.Snapshot.Index+5 {
		return
	}
	snapshot := p.job.Snapshot
	var written bytes.Buffer
	require.NoError(g.t, p.job.Write(&written))
	snapshot.Data = written.Bytes()
	if through := p.core.FinishSnapshot(p.job, written.Len()); through > 0 {
		p.snapshot = snapshot
		for len(p.entries) > 0 && p.entries[0].Index <= through {
			p.entries = p.entries[1:]
		}
	}
	p.job = nil
}

// step advances all processes by one tick and delivers all messages.
func (g *group) step() {
	for _, p := range g.processes {
		if p.core == nil {
			continue
		}
		p.core.Tick()
		g.sendJoins(p)
		g.flush(p)
	}
	for len(g.inbox) > 0 {
		batch := g.inbox
		g.inbox = nil
		for _, message := range batch {
			for _, p := range g.processes {
				if p.core != nil && !p.isolated && p.address == message.Address {
					p.core.Receive(message.Message)
					g.flush(p)
				}
			}
		}
	}
}

// sendJoins asks the process's seeds for admission if it is not a member or knows no leader.
func (g *group) sendJoins(p *process) {
	_, isMember := p.core.Raft().Membership().Member(p.identity)
	if isMember && p.core.Raft().Leader() != consensus.None || p.isolated {
		return
	}
	for _, other := range g.processes {
		if p.seeds != nil && !slices.Contains(p.seeds, other.address) {
			continue
		}
		g.inbox = append(g.inbox, Outgoing{Address: other.address, Message: protocol.Message{
			From: p.address, Join: &protocol.Join{ID: p.identity, Address: p.address},
		}})
	}
}

func (g *group) steps(count int) {
	for range count {
		g.step()
	}
}

func (g *group) leader() *process {
	for _, p := range g.processes {
		if p.core != nil && !p.isolated && p.core.Serving() {
			return p
		}
	}
	return nil
}

// propose proposes a new number on the leader, if there is one.
func (g *group) propose() {
	if leader := g.leader(); leader != nil {
		g.nextID++
		g.proposals[g.nextID] = g.nextID
		leader.core.Propose(g.nextID, binary.BigEndian.AppendUint64(nil, g.nextID))
		g.flush(leader)
	}
}

// requireAcknowledged requires that the leader has applied all acknowledged numbers.
func (g *group) requireAcknowledged() {
	leader := g.leader()
	require.NotNil(g.t, leader, "there is no leader")
	for _, number := range g.acknowledged {
		require.Contains(g.t, leader.machine.list, number)
	}
}

// allCaughtUp reports whether every process is a voter that has the whole committed log.
func (g *group) allCaughtUp() bool {
	leader := g.leader()
	if leader == nil {
		return false
	}
	for _, p := range g.processes {
		member, ok := leader.core.Raft().Membership().Member(p.identity)
		match, _ := leader.core.Raft().Match(p.identity)
		if !ok || !member.Voter || p.isolated || p.core == nil || match < leader.core.Raft().Commit() {
			return false
		}
	}
	return leader.core.Raft().MembershipCommitted()
}

// voterCount returns the leader's number of voters.
func (g *group) voterCount() int { return g.leader().core.Raft().Membership().Voters() }

// TestWipedVotersRejoin: three machines lose their disks in turn, 4 s apart, and each becomes a voter
// again within that time.
func TestWipedVotersRejoin(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.steps(40)
	for round := range 6 {
		for range 10 {
			g.propose()
			g.step()
		}
		p := g.processes[round%3]
		g.wipe(p)
		g.steps(20)
		g.start(p)
		g.steps(60)
		g.requireAcknowledged()
		require.Equal(t, 3, g.voterCount(), "round %d", round)
		member, ok := g.leader().core.Raft().Membership().Member(p.identity)
		require.True(t, ok && member.Voter, "round %d", round)
	}
}

// TestVoterIsReplacedAtAnotherAddress: a new machine with an empty disk replaces a permanently lost voter.
func TestVoterIsReplacedAtAnotherAddress(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.steps(40)
	g.propose()
	g.processes[1].core = nil
	g.steps(20)
	added := g.addProcess()
	g.steps(80)
	g.requireAcknowledged()
	require.Equal(t, 3, g.voterCount())
	member, ok := g.leader().core.Raft().Membership().Member(added.identity)
	require.True(t, ok && member.Voter)
}

// TestRetiringVoterLeaves: a retiring voter is replaced by a learner, and the group keeps three voters.
func TestRetiringVoterLeaves(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.steps(40)
	g.addProcess()
	g.steps(20)
	retiring := g.leader()
	for range 100 {
		if leader := g.leader(); leader != nil {
			leader.core.SetRetiring(map[consensus.ReplicaID]bool{retiring.identity: true})
		}
		g.step()
	}
	g.requireAcknowledged()
	require.Equal(t, 3, g.voterCount())
	_, ok := g.leader().core.Raft().Membership().Member(retiring.identity)
	require.False(t, ok)
}

// TestStandbyLearnersAreLimited: of many machines that ask, only the configured number become learners. They
// replace lost voters, other machines replace them, and a machine that loses its disk while there are enough
// learners is admitted again.
func TestStandbyLearnersAreLimited(t *testing.T) {
	g := newGroup(t, 5, 5)
	g.standby = 2
	for _, p := range g.processes {
		g.start(p)
	}
	g.steps(40)
	for range 8 {
		g.addProcess()
	}
	g.steps(60)
	require.Equal(t, 5, g.voterCount())
	require.Len(t, g.leader().core.Raft().Membership().Members, 7)
	for _, lost := range g.processes {
		if lost != g.leader() {
			g.wipe(lost)
			g.steps(20)
			g.start(lost)
			break
		}
	}
	g.propose()
	g.steps(120)
	g.requireAcknowledged()
	require.Equal(t, 5, g.voterCount())
	require.Len(t, g.leader().core.Raft().Membership().Members, 7)
	down := 0
	for _, p := range g.processes {
		if member, ok := g.leader().core.Raft().Membership().Member(p.identity); ok && member.Voter && p != g.leader() && down < 2 {
			p.core = nil
			down++
		}
	}
	g.propose()
	g.steps(300)
	g.requireAcknowledged()
	require.Equal(t, 5, g.voterCount())
	require.Zero(t, g.leader().core.SilentVoters())
}

// TestNothingAcknowledgedIsLost injects random disk losses of one machine at a time, crashes of several,
// network partitions and restarts.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3, 3)
		g.steps(40)
		for range rapid.IntRange(5, 40).Draw(t, "rounds") {
			p := g.processes[rapid.IntRange(0, 2).Draw(t, "process")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				// A disk is lost only while all other processes have the whole log.
				if g.allCaughtUp() {
					g.wipe(p)
					g.steps(rapid.IntRange(0, 30).Draw(t, "down"))
					g.start(p)
				}
			case 1:
				p.core = nil
			case 2:
				for _, other := range g.processes {
					other.core = nil
				}
			case 3:
				p.isolated = !p.isolated
			}
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				g.propose()
				g.step()
			}
			for _, other := range g.processes {
				if other.core == nil && rapid.Bool().Draw(t, "restart") {
					g.start(other)
				}
			}
		}
		for _, p := range g.processes {
			p.isolated = false
			if p.core == nil {
				g.start(p)
			}
		}
		g.steps(300)
		g.requireAcknowledged()
		require.Equal(t, 3, g.voterCount())
	})
}
