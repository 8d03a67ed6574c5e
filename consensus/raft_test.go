package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const testElectionTicks = 4

// testReplica is a replica with its disk, which outlives its crashes.
type testReplica struct {
	id       ReplicaID
	raft     *Raft
	hard     HardState
	snapshot Snapshot
	entries  []Entry
	applied  uint64
	leading  bool
}

// testGroup runs replicas over a network that loses, repeats and reorders, and
// holds what must never differ between them.
type testGroup struct {
	t         require.TestingT
	random    *rand.Rand
	replicas  map[ReplicaID]*testReplica
	order     []ReplicaID
	network   []Message
	committed map[uint64]Entry
	highest   uint64
	leaders   map[uint64]ReplicaID
	reads     map[uint64]uint64
	nextRead  uint64
	proposals int
	// electionTicks and firstElectionTicks are the replicas' settings.
	electionTicks, firstElectionTicks, lastLeaderTicks int
}

func newTestGroup(t require.TestingT, size int, seed uint64) *testGroup {
	g := &testGroup{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), replicas: map[ReplicaID]*testReplica{},
		committed: map[uint64]Entry{}, leaders: map[uint64]ReplicaID{}, reads: map[uint64]uint64{},
		electionTicks: testElectionTicks, firstElectionTicks: int(seed % 2),
	}
	var membership Membership
	for number := range size {
		membership.Members = append(membership.Members, Member{ID: ReplicaID(number + 1), Voter: true})
	}
	for number := range size {
		g.add(ReplicaID(number+1), Snapshot{Index: 1, Term: 1, Membership: membership})
	}
	return g
}

func (g *testGroup) add(id ReplicaID, snapshot Snapshot) {
	added := &testReplica{id: id, snapshot: snapshot, hard: HardState{Term: snapshot.Term, Commit: snapshot.Index}}
	g.replicas[id] = added
	g.order = append(g.order, id)
	g.restart(added)
}

func (g *testGroup) restart(replica *testReplica) {
	replica.raft = New(Config{
		ID: replica.id, ElectionTicks: g.electionTicks, FirstElectionTicks: g.firstElectionTicks, LastLeaderTicks: g.lastLeaderTicks, HeartbeatTicks: 1, MaxAppendBytes: 64, Seed: g.random.Uint64(),
		HardState: replica.hard, Snapshot: replica.snapshot, Entries: append([]Entry(nil), replica.entries...),
	})
	replica.applied = replica.snapshot.Index
	replica.leading = false
}

// pump carries out all Readys of the replica; it may crash before a sync or
// between the sync and the sending.
func (g *testGroup) pump(replica *testReplica, crashChance float64) {
	for replica.raft != nil && replica.raft.HasReady() {
		ready := replica.raft.Ready()
		if g.random.Float64() < crashChance {
			replica.raft = nil
			return
		}
		replica.persist(ready)
		if g.random.Float64() < crashChance {
			replica.raft = nil
			return
		}
		g.network = append(g.network, ready.Messages...)
		g.apply(replica, ready)
		replica.raft.Advance(ready)
	}
	g.observe(replica)
}

func (r *testReplica) persist(ready Ready) {
	if ready.Snapshot != nil {
		r.snapshot, r.entries = *ready.Snapshot, nil
	}
	if ready.HardState != nil {
		r.hard = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		kept := ready.Entries[0].Index - r.snapshot.Index - 1
		r.entries = append(append([]Entry(nil), r.entries[:kept]...), ready.Entries...)
	}
}

// apply checks state machine safety: at an index, all apply the same entry.
func (g *testGroup) apply(replica *testReplica, ready Ready) {
	if ready.Snapshot != nil {
		require.Equal(g.t, g.digest(ready.Snapshot.Index), string(ready.Snapshot.Data))
		replica.applied = ready.Snapshot.Index
	}
	for _, entry := range ready.Committed {
		require.Equal(g.t, replica.applied+1, entry.Index)
		if earlier, ok := g.committed[entry.Index]; ok {
			require.Equal(g.t, earlier, entry)
		}
		g.committed[entry.Index] = entry
		g.highest = max(g.highest, entry.Index)
		replica.applied = entry.Index
	}
	for _, read := range ready.ReadStates {
		require.GreaterOrEqual(g.t, read.Index, g.reads[read.Context], "a read would miss a committed entry")
	}
}

// digest stands for the state after the entry.
func (g *testGroup) digest(index uint64) string {
	text := ""
	for position := uint64(2); position <= index; position++ {
		text += fmt.Sprintf("%d/%x ", g.committed[position].Term, g.committed[position].Data)
	}
	return text
}

// observe checks election safety and leader completeness.
func (g *testGroup) observe(replica *testReplica) {
	leads := replica.raft != nil && replica.raft.Role() == Leader
	if leads && !replica.leading {
		term := replica.raft.Term()
		other, ok := g.leaders[term]
		require.True(g.t, !ok || other == replica.id, "term %d has two leaders", term)
		g.leaders[term] = replica.id
		for index, entry := range g.committed {
			if entry.Term < term && index > replica.raft.log.snapshotIndex {
				require.True(g.t, replica.raft.log.matches(index, entry.Term), "leader %d misses entry %d", replica.id, index)
			}
		}
	}
	replica.leading = leads
}

// round ticks each replica and delivers what is on the network in any order.
func (g *testGroup) round(loss, crashChance float64) {
	for _, id := range g.order {
		if replica := g.replicas[id]; replica.raft != nil {
			replica.raft.Tick()
			g.pump(replica, crashChance)
		}
	}
	messages := g.network
	g.network = nil
	g.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, message := range messages {
		switch chance := g.random.Float64(); {
		case chance < loss:
		case chance < 2*loss:
			// Late: it stays on the network for a later round.
			g.network = append(g.network, message)
		default:
			g.deliver(message, crashChance)
			if chance > 1-loss {
				g.deliver(message, crashChance)
			}
		}
	}
}

// deliver goes through the codec, as messages between processes do.
func (g *testGroup) deliver(message Message, crashChance float64) {
	replica := g.replicas[message.To]
	if replica == nil || replica.raft == nil {
		return
	}
	data, err := cbor.Marshal(message)
	require.NoError(g.t, err)
	var received Message
	require.NoError(g.t, cbor.Unmarshal(data, &received))
	replica.raft.Step(received)
	g.pump(replica, crashChance)
}

func (g *testGroup) leader() *testReplica {
	var found *testReplica
	for _, id := range g.order {
		replica := g.replicas[id]
		if replica.raft != nil && replica.raft.Role() == Leader && (found == nil || replica.raft.Term() > found.raft.Term()) {
			found = replica
		}
	}
	return found
}

func (g *testGroup) propose() {
	for _, id := range g.order {
		if replica := g.replicas[id]; replica.raft != nil {
			g.proposals++
			replica.raft.Propose(fmt.Appendf(nil, "command-%d", g.proposals))
			g.pump(replica, 0)
		}
	}
}

func (g *testGroup) read() {
	for _, id := range g.order {
		if replica := g.replicas[id]; replica.raft != nil {
			g.nextRead++
			g.reads[g.nextRead] = g.highest
			replica.raft.ReadIndex(g.nextRead)
			g.pump(replica, 0)
		}
	}
}

func (g *testGroup) compact(replica *testReplica) {
	snapshot, ok := replica.raft.Compact(replica.applied, []byte(g.digest(replica.applied)))
	if !ok {
		return
	}
	replica.entries = append([]Entry(nil), replica.entries[snapshot.Index-replica.snapshot.Index:]...)
	replica.snapshot = snapshot
}

// change asks the leader for a membership change of any kind.
func (g *testGroup) change(action MembershipAction) {
	leader := g.leader()
	if leader == nil {
		return
	}
	id := g.order[g.random.IntN(len(g.order))]
	if action == AddLearner {
		id = ReplicaID(len(g.order) + 1)
		g.add(id, Snapshot{})
	}
	leader.raft.ProposeMembership(MembershipChange{Action: action, ID: id})
	g.pump(leader, 0)
}

// settle restarts all replicas, ends all faults and waits for a new command to
// be applied by every voter.
func (g *testGroup) settle() {
	for _, id := range g.order {
		if g.replicas[id].raft == nil {
			g.restart(g.replicas[id])
		}
	}
	target := uint64(0)
	for range 40 * testElectionTicks {
		g.round(0, 0)
		leader := g.leader()
		if leader == nil {
			continue
		}
		if index, _, ok := leader.raft.Propose([]byte("last")); ok && target == 0 {
			target = index
		}
		done := target > 0
		for _, member := range leader.raft.Membership().Members {
			done = done && (!member.Voter || g.replicas[member.ID].applied >= target)
		}
		if done {
			return
		}
	}
	require.Fail(g.t, "no command was committed after all faults had ended")
}

// TestGroupAgrees runs groups under loss, reordering, copies, crashes,
// membership changes, snapshots and leadership transfers.
func TestGroupAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGroup(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		rounds := func(loss, crash float64) func(*rapid.T) {
			return func(t *rapid.T) {
				for range rapid.IntRange(1, 3*testElectionTicks).Draw(t, "rounds") {
					g.round(loss, crash)
				}
			}
		}
		// running lets the action work on a replica, if the one picked runs.
		running := func(do func(t *rapid.T, replica *testReplica)) func(*rapid.T) {
			return func(t *rapid.T) {
				replica := g.replicas[rapid.SampledFrom(g.order).Draw(t, "replica")]
				if replica.raft != nil {
					do(t, replica)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"calm":    rounds(0, 0),
			"noise":   rounds(0.2, 0),
			"crashes": rounds(0.1, 0.01),
			"propose": func(*rapid.T) { g.propose() },
			"read":    func(*rapid.T) { g.read() },
			"compact": running(func(_ *rapid.T, replica *testReplica) { g.compact(replica) }),
			"crash":   running(func(_ *rapid.T, replica *testReplica) { replica.raft = nil }),
			"restart": func(*rapid.T) {
				for _, id := range g.order {
					if g.replicas[id].raft == nil {
						g.restart(g.replicas[id])
					}
				}
			},
			"transfer": running(func(t *rapid.T, replica *testReplica) {
				replica.raft.TransferLeadership(rapid.SampledFrom(g.order).Draw(t, "to"))
				g.pump(replica, 0)
			}),
			"add":     func(*rapid.T) { g.change(AddLearner) },
			"promote": func(*rapid.T) { g.change(PromoteLearner) },
			"remove":  func(*rapid.T) { g.change(RemoveReplica) },
		})
		g.settle()
	})
}

// TestMembershipIsInUseOnceInTheLog: a replaced replica counts no more as soon
// as the change is in the log, so that the loss of a second machine right after
// the first one's repair leaves a quorum.
func TestMembershipIsInUseOnceInTheLog(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	g.settle()
	leader := g.leader()
	lost := ReplicaID(1)
	if leader.id == lost {
		lost = 2
	}
	g.replicas[lost].raft = nil
	g.add(4, Snapshot{})
	for _, change := range []MembershipChange{
		{Action: AddLearner, ID: 4}, {Action: PromoteLearner, ID: 4}, {Action: RemoveReplica, ID: lost},
	} {
		require.True(t, leader.raft.ProposeMembership(change))
		require.False(t, leader.raft.MembershipCommitted())
		for range 4 {
			g.round(0, 0)
		}
		require.True(t, leader.raft.MembershipCommitted())
	}
	second := ReplicaID(6) - leader.id - lost
	g.replicas[second].raft = nil
	index, _, ok := leader.raft.Propose([]byte("after both losses"))
	require.True(t, ok)
	for range 4 {
		g.round(0, 0)
	}
	require.GreaterOrEqual(t, g.replicas[4].applied, index)
}

// TestLateSnapshotKeepsAcknowledgedEntries: a snapshot that arrives after the
// entries which it covers must not cut off later ones.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	follower := g.replicas[2]
	entries := []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	follower.raft.Step(Message{Kind: MessageAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Entries: entries})
	g.pump(follower, 0)
	snapshot := Snapshot{Index: 3, Term: 2, Membership: follower.raft.Membership()}
	follower.raft.Step(Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 2, Snapshot: &snapshot})
	g.pump(follower, 0)
	require.Equal(t, uint64(4), follower.raft.log.lastIndex())
	require.Equal(t, uint64(3), follower.raft.Commit())
}

// TestUnawareVoterGivesUpASilentLeader: a learner that has been promoted and
// does not know it yet must be free to vote once its leader is silent.
func TestUnawareVoterGivesUpASilentLeader(t *testing.T) {
	g := newTestGroup(t, 1, 1)
	g.add(2, Snapshot{Index: 1, Term: 1, Membership: Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2}}}})
	learner := g.replicas[2]
	learner.raft.Step(Message{Kind: MessageHeartbeat, From: 1, To: 2, Term: 2})
	for range 3 * testElectionTicks {
		learner.raft.Tick()
	}
	require.Equal(t, None, learner.raft.Leader())
}

// TestRemovedLeaderFinishesItsRemoval: a leader that has appended its own
// removal and restarts before anyone else holds it must be able to lead again,
// since nobody else can win.
func TestRemovedLeaderFinishesItsRemoval(t *testing.T) {
	g := newTestGroup(t, 2, 1)
	g.settle()
	leader := g.leader()
	require.True(t, leader.raft.ProposeMembership(MembershipChange{Action: RemoveReplica, ID: leader.id}))
	g.pump(leader, 0)
	g.network = nil
	g.restart(leader)
	g.settle()
	require.Len(t, g.leader().raft.Membership().Members, 1)
}
