// Package control is the core of a control replica: consensus, the replicated
// state machine and, on the leader, node leases and the reconcile loop. It is a
// deterministic state machine: calls with the current time go in; a Ready to
// persist, messages and replies come out. Package server runs it in a process,
// package simulate in virtual time.
package control

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Clock is the time of a call.
type Clock struct {
	// Monotonic is in milliseconds since any fixed point of this process.
	Monotonic int64
	// Wall is in milliseconds since 1970.
	Wall int64
}

// Config holds what a Core needs to start.
type Config struct {
	Consensus consensus.Config
	// Address is where other processes reach this replica.
	Address string
	// TickMillis is the time between calls of Tick.
	TickMillis int64
	// LeaseMillis is how long a node keeps its lease after its last confirmed
	// heartbeat. Nodes are told a shorter time; see leaseMargin.
	LeaseMillis int64
	// ReconcileMillis is the time between runs of the reconcile loop.
	ReconcileMillis int64
	// ReplaceMillis is how long a voter must be silent before a caught-up
	// learner takes its place; 0 turns replacement off.
	ReplaceMillis int64
	// ListGraceMillis is how long a new leader renews no lease while it waits
	// for the platform's list; see mayRenew.
	ListGraceMillis int64
	// SnapshotBytes is the least size of the log that makes a snapshot.
	SnapshotBytes int
}

// Outgoing is a message for another process.
type Outgoing struct {
	Address string
	Message protocol.Message
}

// Reply answers a local request.
type Reply struct {
	ID      uint64
	Outcome protocol.ProposeOutcome
	// Leader is the leader's address with an outcome other than done.
	Leader string
	Result state.Result
	// View is set in the reply to a read.
	View *View
}

// requester is who waits for a proposal: a process by address, or with an
// empty address a local caller.
type requester struct {
	address string
	id      uint64
}

type waiter struct {
	term      uint64
	requester requester
}

// Core is one control replica. Its methods must not be called concurrently.
type Core struct {
	config  Config
	raft    *consensus.Raft
	machine *state.Machine
	applied uint64
	clock   Clock

	waiting   map[uint64]waiter
	reads     *consensus.ReadTracker[pendingRead]
	addresses map[consensus.ReplicaID]string

	// The following belong to one leadership and are made anew with each.
	leadingTerm  uint64
	leases       map[string]*lease
	beats        []pendingBeat
	beatContext  uint64
	fetches      []pendingFetch
	leadingSince int64
	listed       []state.Engine
	listedKnown  bool
	// listCompared is set once the platform's list has been compared, and
	// listIndex is the entry by which its differences are applied.
	listCompared   bool
	listIndex      uint64
	lastReconcile  int64
	reconcileIndex uint64
	// news is set while there is something that nodes have not been told of.
	news         bool
	lastNotified int64

	logBytes     int
	snapshotSize int
	snapshot     *consensus.Snapshot
	outbox       []Outgoing
	replies      []Reply
}

// New returns a replica that continues from what storage held. It fails if the
// stored snapshot cannot be decoded.
func New(config Config) (*Core, error) {
	machine, err := state.Restore(config.Consensus.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	c := &Core{
		config: config, raft: consensus.New(config.Consensus), machine: machine,
		applied: config.Consensus.Snapshot.Index,
		waiting: map[uint64]waiter{}, reads: consensus.NewReadTracker[pendingRead](),
		addresses: map[consensus.ReplicaID]string{},
	}
	for _, entry := range config.Consensus.Entries {
		c.logBytes += len(entry.Data)
	}
	c.snapshotSize = len(config.Consensus.Snapshot.Data)
	return c, nil
}

// Raft returns the replica's consensus state, for inspection only.
func (c *Core) Raft() *consensus.Raft { return c.raft }

// Machine returns the replicated state, for inspection only.
func (c *Core) Machine() *state.Machine { return c.machine }

// LeaderAddress returns the leader's address, or "" if it is not known.
func (c *Core) LeaderAddress() string {
	if c.raft.Role() == consensus.Leader {
		return c.config.Address
	}
	return c.address(c.raft.Leader())
}

func (c *Core) address(id consensus.ReplicaID) string {
	if member, ok := c.raft.Membership().Member(id); ok {
		return member.Address
	}
	return c.addresses[id]
}

// Tick advances consensus by one tick and runs the leader's periodic work.
func (c *Core) Tick(clock Clock) {
	c.clock = clock
	c.raft.Tick()
	c.noticeLeadership()
	c.expireFetches()
	if c.leading() && clock.Monotonic-c.lastReconcile >= c.config.ReconcileMillis {
		c.lastReconcile = clock.Monotonic
		c.reconcile()
	}
	c.notifyNodes()
}

// Receive takes in a message of another process.
func (c *Core) Receive(clock Clock, message protocol.Message) {
	c.clock = clock
	switch {
	case message.Consensus != nil:
		c.addresses[message.Consensus.From] = message.From
		c.raft.Step(*message.Consensus)
	case message.Heartbeat != nil:
		c.receiveHeartbeat(message.From, message.Heartbeat)
	case message.Propose != nil:
		c.propose(message.Propose.Command, requester{address: message.From, id: message.Propose.ID})
	case message.Join != nil:
		c.receiveJoin(*message.Join)
	}
	c.noticeLeadership()
}

// receiveJoin takes a replica into the group as a learner. A replica that does not lead passes the
// question on, once: whoever asks may know no leader's address.
func (c *Core) receiveJoin(join protocol.Join) {
	switch {
	case c.leading():
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.AddLearner, ID: join.ID, Address: join.Address})
	case !join.PassedOn && c.raft.Leader() != consensus.None:
		join.PassedOn = true
		c.send(c.LeaderAddress(), protocol.Message{Join: &join})
	}
}

// Propose asks for a command to be committed; the reply carries the ID.
func (c *Core) Propose(clock Clock, id uint64, command state.Command) {
	c.clock = clock
	c.propose(command, requester{id: id})
}

// ChangeMembership proposes a membership change and tells whether it was taken in.
func (c *Core) ChangeMembership(change consensus.MembershipChange) bool {
	return c.raft.ProposeMembership(change)
}

// TransferLeadership hands leadership to the most complete other voter, or to
// the one named, and tells whether there is one.
func (c *Core) TransferLeadership(to consensus.ReplicaID) bool {
	if to != consensus.None {
		return c.raft.TransferLeadership(to)
	}
	best, bestMatch := consensus.None, uint64(0)
	for _, member := range c.raft.Membership().Members {
		match, silent := c.raft.Match(member.ID)
		eligible := member.Voter && member.ID != c.raft.ID() && silent <= c.config.Consensus.ElectionTicks
		if eligible && match >= bestMatch {
			best, bestMatch = member.ID, match
		}
	}
	return best != consensus.None && c.raft.TransferLeadership(best)
}

// proposeOwn commits a command that nobody waits for.
func (c *Core) proposeOwn(command state.Command) {
	command.Now = c.clock.Wall
	if index, _, ok := c.raft.Propose(command.Encode()); ok {
		c.reconcileIndex = index
	}
}

func (c *Core) propose(command state.Command, from requester) {
	command.Now = c.clock.Wall
	index, term, ok := c.raft.Propose(command.Encode())
	if !ok {
		c.answer(from, protocol.ProposeNotLeader, state.Result{})
		return
	}
	c.waiting[index] = waiter{term: term, requester: from}
}

func (c *Core) answer(to requester, outcome protocol.ProposeOutcome, result state.Result) {
	leader := ""
	if outcome != protocol.ProposeDone {
		leader = c.LeaderAddress()
	}
	if to.address == "" {
		c.replies = append(c.replies, Reply{ID: to.id, Outcome: outcome, Leader: leader, Result: result})
		return
	}
	c.send(to.address, protocol.Message{ProposeReply: &protocol.ProposeReply{
		ID: to.id, Outcome: outcome, Leader: leader, Result: result,
	}})
}

func (c *Core) send(address string, message protocol.Message) {
	if address == "" {
		return
	}
	message.From = c.config.Address
	c.outbox = append(c.outbox, Outgoing{Address: address, Message: message})
}

func (c *Core) leading() bool { return c.raft.Role() == consensus.Leader }

// noticeLeadership makes the leader's state anew when a leadership begins, and
// answers all who wait when one ends.
func (c *Core) noticeLeadership() {
	if c.leading() && c.leadingTerm != c.raft.Term() {
		c.beginLeadership()
	}
	if !c.leading() && c.leadingTerm != 0 {
		c.endLeadership()
	}
}

// beginLeadership grants each registered node a full lease: the earlier leader
// may have renewed it up to the moment of this election.
func (c *Core) beginLeadership() {
	c.endLeadership()
	c.leadingTerm = c.raft.Term()
	c.leases = map[string]*lease{}
	for id, node := range c.machine.Catalog.Nodes {
		c.leases[id] = &lease{epoch: node.Epoch, renewedAt: c.clock.Monotonic}
	}
	c.reconcileIndex = c.raft.Commit()
	c.leadingSince = c.clock.Monotonic
	c.listedKnown, c.listCompared = false, false
}

func (c *Core) endLeadership() {
	c.leadingTerm = 0
	c.leases, c.beats, c.beatContext = nil, nil, 0
	for index, waiting := range c.waiting {
		c.answer(waiting.requester, protocol.ProposeUnknown, state.Result{})
		delete(c.waiting, index)
	}
	for _, fetch := range c.fetches {
		c.answer(fetch.requester, protocol.ProposeUnknown, state.Result{})
	}
	c.fetches = nil
}

// HasReady tells whether there is anything to persist, send or apply.
func (c *Core) HasReady() bool { return c.raft.HasReady() }

// Ready returns what has to be persisted before Advance.
func (c *Core) Ready() consensus.Ready { return c.raft.Ready() }

// Advance carries on after the Ready has been persisted: it sends its messages
// and applies its committed entries. It fails if a snapshot or an entry cannot
// be decoded, which means that replicas run incompatible versions.
func (c *Core) Advance(ready consensus.Ready) error {
	for _, message := range ready.Messages {
		consensusMessage := message
		c.send(c.address(message.To), protocol.Message{Consensus: &consensusMessage})
	}
	for _, entry := range ready.Entries {
		c.logBytes += len(entry.Data)
	}
	if err := c.applySnapshot(ready.Snapshot); err != nil {
		return err
	}
	for _, entry := range ready.Committed {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
	}
	c.raft.Advance(ready)
	c.noticeLeadership()
	c.confirmReads(ready)
	c.serveFetches()
	c.compact()
	return nil
}

func (c *Core) applySnapshot(snapshot *consensus.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	machine, err := state.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	c.machine, c.applied = machine, snapshot.Index
	c.logBytes, c.snapshotSize = 0, len(snapshot.Data)
	return nil
}

func (c *Core) applyEntry(entry consensus.Entry) error {
	c.applied = entry.Index
	if entry.Kind != consensus.EntryNormal || len(entry.Data) == 0 {
		return nil
	}
	command, err := state.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	before := c.machine.Revision
	result := c.machine.Apply(command)
	c.noticeApplied(command, result)
	c.news = c.news || c.machine.Revision != before || command.SubmitStep != nil
	waiting, ok := c.waiting[entry.Index]
	if !ok {
		return nil
	}
	delete(c.waiting, entry.Index)
	if waiting.term != entry.Term {
		c.answer(waiting.requester, protocol.ProposeUnknown, state.Result{})
		return nil
	}
	c.answer(waiting.requester, protocol.ProposeDone, result)
	return nil
}

// noticeApplied keeps the leader's leases in step with registrations.
func (c *Core) noticeApplied(command state.Command, result state.Result) {
	if c.leases == nil {
		return
	}
	switch {
	case command.RegisterNode != nil:
		known := c.leases[command.RegisterNode.ID]
		if known == nil || known.epoch != result.Register.Epoch {
			c.leases[command.RegisterNode.ID] = &lease{epoch: result.Register.Epoch, renewedAt: c.clock.Monotonic}
		}
	case command.ExpireNode != nil && result.Found:
		delete(c.leases, command.ExpireNode.ID)
	}
}

// compact makes a snapshot when the log has outgrown both the configured size
// and the last snapshot, so that the cost of snapshots stays in proportion to
// that of the log.
func (c *Core) compact() {
	if c.logBytes < max(c.config.SnapshotBytes, c.snapshotSize) {
		return
	}
	data := c.machine.Snapshot()
	if snapshot, ok := c.raft.Compact(c.applied, data); ok {
		c.snapshot = &snapshot
		c.logBytes, c.snapshotSize = 0, len(data)
	}
}

// TakeSnapshot returns a snapshot to be persisted, or nil.
func (c *Core) TakeSnapshot() *consensus.Snapshot {
	snapshot := c.snapshot
	c.snapshot = nil
	return snapshot
}

// TakeMessages returns the messages to be sent and forgets them.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeReplies returns the replies to local requests and forgets them.
func (c *Core) TakeReplies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}
