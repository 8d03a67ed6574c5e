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

// testReplica is a replica with its persisted state, which survives crashes.
type testReplica struct {
	id        ReplicaID
	raft      *Raft
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
	applied   uint64
	wasLeader bool
}

// testGroup runs replicas over a network that loses, duplicates and reorders messages,
// and records the state needed to check the safety properties.
type testGroup struct {
	t                require.TestingT
	random           *rand.Rand
	replicas         map[ReplicaID]*testReplica
	ids              []ReplicaID
	network          []Message
	committed        map[uint64]Entry
	highestCommitted uint64
	leaderByTerm     map[uint64]ReplicaID
	minReadIndexes   map[uint64]uint64
	lastReadContext  uint64
	proposals        int
	// electionTicks, firstElectionTicks and nonLeaderDelayTicks configure the replicas.
	electionTicks, firstElectionTicks, nonLeaderDelayTicks int
}

func newTestGroup(t require.TestingT, size int, seed uint64) *testGroup {
	g := &testGroup{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), replicas: map[ReplicaID]*testReplica{},
		committed: map[uint64]Entry{}, leaderByTerm: map[uint64]ReplicaID{}, minReadIndexes: map[uint64]uint64{},
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
	added := &testReplica{id: id, snapshot: snapshot, hardState: HardState{Term: snapshot.Term, Commit: snapshot.Index}}
	g.replicas[id] = added
	g.ids = append(g.ids, id)
	g.restart(added)
}

func (g *testGroup) restart(replica *testReplica) {
	replica.raft = New(Config{
		ID: replica.id, ElectionTicks: g.electionTicks, FirstElectionTicks: g.firstElectionTicks, NonLeaderDelayTicks: g.nonLeaderDelayTicks, HeartbeatTicks: 1, MaxAppendBytes: 64, Seed: g.random.Uint64(),
		HardState: replica.hardState, Snapshot: replica.snapshot, Entries: append([]Entry(nil), replica.entries...),
	})
	replica.applied = replica.snapshot.Index
	replica.wasLeader = false
}

// processReady processes all pending Readys of the replica, which may crash before
// persisting or between persisting and sending.
func (g *testGroup) processReady(replica *testReplica, crashChance float64) {
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
	g.checkLeadership(replica)
}

func (r *testReplica) persist(ready Ready) {
	if ready.Snapshot != nil {
		r.snapshot, r.entries = *ready.Snapshot, nil
	}
	if ready.HardState != nil {
		r.hardState = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		kept := ready.Entries[0].Index - r.snapshot.Index - 1
		r.entries = append(append([]Entry(nil), r.entries[:kept]...), ready.Entries...)
	}
}

// apply checks state machine safety: all replicas apply the same entry at an index.
func (g *testGroup) apply(replica *testReplica, ready Ready) {
	if ready.Snapshot != nil {
		require.Equal(g.t, g.stateDigest(ready.Snapshot.Index), string(ready.Snapshot.Data))
		replica.applied = ready.Snapshot.Index
	}
	for _, entry := range ready.Committed {
		require.Equal(g.t, replica.applied+1, entry.Index)
		if earlier, ok := g.committed[entry.Index]; ok {
			require.Equal(g.t, earlier, entry)
		}
		g.committed[entry.Index] = entry
		g.highestCommitted = max(g.highestCommitted, entry.Index)
		replica.applied = entry.Index
	}
	for _, read := range ready.ReadStates {
		require.GreaterOrEqual(g.t, read.Index, g.minReadIndexes[read.Context], "the read index is below an entry committed before the read")
	}
}

// stateDigest represents the state after the entry at index.
func (g *testGroup) stateDigest(index uint64) string {
	digest := ""
	for position := uint64(2); position <= index; position++ {
		digest += fmt.Sprintf("%d/%x ", g.committed[position].Term, g.committed[position].Data)
	}
	return digest
}

// checkLeadership checks election safety and leader completeness.
func (g *testGroup) checkLeadership(replica *testReplica) {
	isLeader := replica.raft != nil && replica.raft.Role() == Leader
	if isLeader && !replica.wasLeader {
		term := replica.raft.Term()
		other, ok := g.leaderByTerm[term]
		require.True(g.t, !ok || other == replica.id, "term %d has two leaders", term)
		g.leaderByTerm[term] = replica.id
		for index, entry := range g.committed {
			if entry.Term < term && index > replica.raft.log.snapshotIndex {
				require.True(g.t, replica.raft.log.matches(index, entry.Term), "leader %d lacks committed entry %d", replica.id, index)
			}
		}
	}
	replica.wasLeader = isLeader
}

// round ticks each replica and delivers the messages in flight in random order.
func (g *testGroup) round(loss, crashChance float64) {
	for _, id := range g.ids {
		if replica := g.replicas[id]; replica.raft != nil {
			replica.raft.Tick()
			g.processReady(replica, crashChance)
		}
	}
	messages := g.network
	g.network = nil
	g.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, message := range messages {
		switch chance := g.random.Float64(); {
		case chance < loss:
		case chance < 2*loss:
			// Delay the message until a later round.
			g.network = append(g.network, message)
		default:
			g.deliver(message, crashChance)
			if chance > 1-loss {
				g.deliver(message, crashChance)
			}
		}
	}
}

// deliver encodes and decodes the message, as the transport does.
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
	g.processReady(replica, crashChance)
}

func (g *testGroup) leader() *testReplica {
	var found *testReplica
	for _, id := range g.ids {
		replica := g.replicas[id]
		if replica.raft != nil && replica.raft.Role() == Leader && (found == nil || replica.raft.Term() > found.raft.Term()) {
			found = replica
		}
	}
	return found
}

func (g *testGroup) proposeOnAll() {
	for _, id := range g.ids {
		if replica := g.replicas[id]; replica.raft != nil {
			g.proposals++
			replica.raft.Propose(fmt.Appendf(nil, "command-%d", g.proposals))
			g.processReady(replica, 0)
		}
	}
}

func (g *testGroup) requestReads() {
	for _, id := range g.ids {
		if replica := g.replicas[id]; replica.raft != nil {
			g.lastReadContext++
			g.minReadIndexes[g.lastReadContext] = g.highestCommitted
			replica.raft.ReadIndex(g.lastReadContext)
			g.processReady(replica, 0)
		}
	}
}

func (g *testGroup) compact(replica *testReplica) {
	snapshot, ok := replica.raft.Compact(replica.applied, []byte(g.stateDigest(replica.applied)))
	if !ok {
		return
	}
	replica.entries = append([]Entry(nil), replica.entries[snapshot.Index-replica.snapshot.Index:]...)
	replica.snapshot = snapshot
}

// proposeChange proposes a membership change for a random or new replica.
func (g *testGroup) proposeChange(action MembershipAction) {
	leader := g.leader()
	if leader == nil {
		return
	}
	id := g.ids[g.random.IntN(len(g.ids))]
	if action == AddLearner {
		id = ReplicaID(len(g.ids) + 1)
		g.add(id, Snapshot{})
	}
	leader.raft.ProposeMembership(MembershipChange{Action: action, ID: id})
	g.processReady(leader, 0)
}

// healAndCommit restarts crashed replicas, stops all faults and waits until every
// voter has applied a new command.
func (g *testGroup) healAndCommit() {
	for _, id := range g.ids {
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
	require.Fail(g.t, "no command was committed after all faults ended")
}

// TestSafetyAndLivenessUnderFaults runs groups under message loss, reordering,
// duplication, crashes, membership changes, snapshots and leadership transfers.
func TestSafetyAndLivenessUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGroup(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		runRounds := func(loss, crash float64) func(*rapid.T) {
			return func(t *rapid.T) {
				for range rapid.IntRange(1, 3*testElectionTicks).Draw(t, "rounds") {
					g.round(loss, crash)
				}
			}
		}
		// onRunning applies the action to a drawn replica if it is running.
		onRunning := func(action func(t *rapid.T, replica *testReplica)) func(*rapid.T) {
			return func(t *rapid.T) {
				replica := g.replicas[rapid.SampledFrom(g.ids).Draw(t, "replica")]
				if replica.raft != nil {
					action(t, replica)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"calm":    runRounds(0, 0),
			"noise":   runRounds(0.2, 0),
			"crashes": runRounds(0.1, 0.01),
			"propose": func(*rapid.T) { g.proposeOnAll() },
			"read":    func(*rapid.T) { g.requestReads() },
			"compact": onRunning(func(_ *rapid.T, replica *testReplica) { g.compact(replica) }),
			"crash":   onRunning(func(_ *rapid.T, replica *testReplica) { replica.raft = nil }),
			"restart": func(*rapid.T) {
				for _, id := range g.ids {
					if g.replicas[id].raft == nil {
						g.restart(g.replicas[id])
					}
				}
			},
			"transfer": onRunning(func(t *rapid.T, replica *testReplica) {
				replica.raft.TransferLeadership(rapid.SampledFrom(g.ids).Draw(t, "to"))
				g.processReady(replica, 0)
			}),
			"add":     func(*rapid.T) { g.proposeChange(AddLearner) },
			"promote": func(*rapid.T) { g.proposeChange(PromoteLearner) },
			"remove":  func(*rapid.T) { g.proposeChange(RemoveReplica) },
		})
		g.healAndCommit()
	})
}

// TestMembershipChangeTakesEffectOnAppend checks that a replaced replica does not count
// toward the quorum, so that the group survives a second failure right after the
// replacement.
func TestMembershipChangeTakesEffectOnAppend(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	g.healAndCommit()
	leader := g.leader()
	replacedID := ReplicaID(1)
	if leader.id == replacedID {
		replacedID = 2
	}
	g.replicas[replacedID].raft = nil
	g.add(4, Snapshot{})
	for _, change := range []MembershipChange{
		{Action: AddLearner, ID: 4}, {Action: PromoteLearner, ID: 4}, {Action: RemoveReplica, ID: replacedID},
	} {
		require.True(t, leader.raft.ProposeMembership(change))
		require.False(t, leader.raft.MembershipCommitted())
		for range 4 {
			g.round(0, 0)
		}
		require.True(t, leader.raft.MembershipCommitted())
	}
	failedID := ReplicaID(6) - leader.id - replacedID
	g.replicas[failedID].raft = nil
	index, _, ok := leader.raft.Propose([]byte("after both losses"))
	require.True(t, ok)
	for range 4 {
		g.round(0, 0)
	}
	require.GreaterOrEqual(t, g.replicas[4].applied, index)
}

// TestLateSnapshotKeepsAcknowledgedEntries checks that a delayed snapshot does not
// truncate entries after it.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	follower := g.replicas[2]
	entries := []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	follower.raft.Step(Message{Kind: MessageAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Entries: entries})
	g.processReady(follower, 0)
	snapshot := Snapshot{Index: 3, Term: 2, Membership: follower.raft.Membership()}
	follower.raft.Step(Message{Kind: MessageSnapshot, From: 1, To: 2, Term: 2, Snapshot: &snapshot})
	g.processReady(follower, 0)
	require.Equal(t, uint64(4), follower.raft.log.lastIndex())
	require.Equal(t, uint64(3), follower.raft.Commit())
}

// TestPromotedLearnerForgetsSilentLeader checks that a learner that does not know of its
// promotion yet can vote once its leader is silent.
func TestPromotedLearnerForgetsSilentLeader(t *testing.T) {
	g := newTestGroup(t, 1, 1)
	g.add(2, Snapshot{Index: 1, Term: 1, Membership: Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2}}}})
	learner := g.replicas[2]
	learner.raft.Step(Message{Kind: MessageHeartbeat, From: 1, To: 2, Term: 2})
	for range 3 * testElectionTicks {
		learner.raft.Tick()
	}
	require.Equal(t, None, learner.raft.Leader())
}

// TestRestartedLeaderCommitsItsRemoval checks that a leader that restarts before its own
// removal is replicated can be elected again, since no other replica can win.
func TestRestartedLeaderCommitsItsRemoval(t *testing.T) {
	g := newTestGroup(t, 2, 1)
	g.healAndCommit()
	leader := g.leader()
	require.True(t, leader.raft.ProposeMembership(MembershipChange{Action: RemoveReplica, ID: leader.id}))
	g.processReady(leader, 0)
	g.network = nil
	g.restart(leader)
	g.healAndCommit()
	require.Len(t, g.leader().raft.Membership().Members, 1)
}
