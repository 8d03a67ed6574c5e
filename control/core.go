// Package control implements the core of a control replica: consensus, the
// replicated state machine and, on the leader, node leases and the reconcile loop.
// It does no I/O and reads no clock: callers pass the current time, persist each
// Ready, and send the resulting messages and replies. Package server runs it in a
// process, package simulate in virtual time.
package control

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Clock holds the current time of a call.
type Clock struct {
	// Monotonic is in milliseconds since an arbitrary fixed point of this process.
	Monotonic int64
	// Wall is in milliseconds since 1970.
	Wall int64
}

// Config configures a Core.
type Config struct {
	Consensus consensus.Config
	// Address is the address at which other processes reach this replica.
	Address string
	// TickMillis is the time between calls of Tick.
	TickMillis int64
	// LeaseMillis is the duration of a node's lease after its last confirmed
	// heartbeat. Nodes are granted a shorter time; see leaseMarginPercent.
	LeaseMillis int64
	// ReconcileMillis is the interval of the reconcile loop.
	ReconcileMillis int64
	// ReplaceMillis is how long a voter must be silent before a caught-up
	// learner replaces it; 0 disables replacement.
	ReplaceMillis int64
	// ListGraceMillis is how long a new leader waits for the platform's engine
	// list before it renews leases; see canRenewLeases.
	ListGraceMillis int64
	// SnapshotBytes is the minimum log size that triggers a snapshot.
	SnapshotBytes int
}

// Outgoing is a message for another process.
type Outgoing struct {
	Address string
	Message protocol.Message
}

// Reply is the reply to a local request.
type Reply struct {
	ID      uint64
	Outcome protocol.ProposeOutcome
	// Leader is the leader's address, set if the outcome is not ProposeDone.
	Leader string
	Result state.Result
	// View is set in the reply to a read.
	View *View
}

// requester identifies who waits for a reply: another process, or a local caller
// if the address is empty.
type requester struct {
	address string
	id      uint64
}

type pendingProposal struct {
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

	proposals map[uint64]pendingProposal
	reads     *consensus.ReadTracker[pendingRead]
	addresses map[consensus.ReplicaID]string

	// The following fields are reset when this replica becomes leader.
	leadershipTerm   uint64
	leases           map[string]*lease
	heartbeats       []pendingHeartbeat
	heartbeatContext uint64
	fetches          []pendingFetch
	leaderSince      int64
	listedEngines    []state.Engine
	listReceived     bool
	// listCompared is set once the platform's list has been compared with the
	// catalog; listIndex is the log entry that applies the differences.
	listCompared     bool
	listIndex        uint64
	lastReconciledAt int64
	reconcileIndex   uint64
	// notifyPending is set if there are changes that nodes were not notified of.
	notifyPending  bool
	lastNotifiedAt int64

	logBytes     int
	snapshotSize int
	snapshot     *consensus.Snapshot
	outbox       []Outgoing
	replies      []Reply
}

// New returns a replica that continues from the stored state. It returns an error
// if the stored snapshot cannot be decoded.
func New(config Config) (*Core, error) {
	machine, err := state.Restore(config.Consensus.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	c := &Core{
		config: config, raft: consensus.New(config.Consensus), machine: machine,
		applied:   config.Consensus.Snapshot.Index,
		proposals: map[uint64]pendingProposal{}, reads: consensus.NewReadTracker[pendingRead](),
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
	c.updateLeadership()
	c.expireFetches()
	if c.isLeader() && clock.Monotonic-c.lastReconciledAt >= c.config.ReconcileMillis {
		c.lastReconciledAt = clock.Monotonic
		c.reconcile()
	}
	c.notifyNodes()
}

// Receive handles a message from another process.
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
	c.updateLeadership()
}

// receiveJoin adds a replica to the group as a learner. A follower forwards the request
// to the leader, at most once, because a new replica may not know the leader's address.
func (c *Core) receiveJoin(join protocol.Join) {
	switch {
	case c.isLeader():
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.AddLearner, ID: join.ID, Address: join.Address})
	case !join.PassedOn && c.raft.Leader() != consensus.None:
		join.PassedOn = true
		c.send(c.LeaderAddress(), protocol.Message{Join: &join})
	}
}

// Propose proposes a command; the reply has the same ID.
func (c *Core) Propose(clock Clock, id uint64, command state.Command) {
	c.clock = clock
	c.propose(command, requester{id: id})
}

// ChangeMembership proposes a membership change and reports whether it was accepted.
func (c *Core) ChangeMembership(change consensus.MembershipChange) bool {
	return c.raft.ProposeMembership(change)
}

// TransferLeadership transfers leadership to the given voter or, for None, to the
// responsive voter with the longest log. It reports whether a transfer was started.
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

// proposeInternal proposes a command that has no requester.
func (c *Core) proposeInternal(command state.Command) {
	command.Now = c.clock.Wall
	if index, _, ok := c.raft.Propose(command.Encode()); ok {
		c.reconcileIndex = index
	}
}

func (c *Core) propose(command state.Command, from requester) {
	command.Now = c.clock.Wall
	index, term, ok := c.raft.Propose(command.Encode())
	if !ok {
		c.reply(from, protocol.ProposeNotLeader, state.Result{})
		return
	}
	c.proposals[index] = pendingProposal{term: term, requester: from}
}

func (c *Core) reply(to requester, outcome protocol.ProposeOutcome, result state.Result) {
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

func (c *Core) isLeader() bool { return c.raft.Role() == consensus.Leader }

// updateLeadership resets the leader's state when this replica becomes leader, and
// replies to all pending requests when it no longer is.
func (c *Core) updateLeadership() {
	if c.isLeader() && c.leadershipTerm != c.raft.Term() {
		c.beginLeadership()
	}
	if !c.isLeader() && c.leadershipTerm != 0 {
		c.endLeadership()
	}
}

// beginLeadership gives each registered node a full lease, because the previous
// leader may have renewed it until this election.
func (c *Core) beginLeadership() {
	c.endLeadership()
	c.leadershipTerm = c.raft.Term()
	c.leases = map[string]*lease{}
	for id, node := range c.machine.Catalog.Nodes {
		c.leases[id] = &lease{epoch: node.Epoch, renewedAt: c.clock.Monotonic}
	}
	c.reconcileIndex = c.raft.Commit()
	c.leaderSince = c.clock.Monotonic
	c.listReceived, c.listCompared = false, false
}

func (c *Core) endLeadership() {
	c.leadershipTerm = 0
	c.leases, c.heartbeats, c.heartbeatContext = nil, nil, 0
	for index, proposal := range c.proposals {
		c.reply(proposal.requester, protocol.ProposeUnknown, state.Result{})
		delete(c.proposals, index)
	}
	for _, fetch := range c.fetches {
		c.reply(fetch.requester, protocol.ProposeUnknown, state.Result{})
	}
	c.fetches = nil
}

// HasReady reports whether there is anything to persist, send or apply.
func (c *Core) HasReady() bool { return c.raft.HasReady() }

// Ready returns what must be persisted before Advance is called.
func (c *Core) Ready() consensus.Ready { return c.raft.Ready() }

// Advance sends the messages and applies the committed entries of a Ready that has
// been persisted. It returns an error if a snapshot or an entry cannot be decoded,
// which means that replicas run incompatible versions.
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
	c.updateLeadership()
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
	c.updateLeases(command, result)
	c.notifyPending = c.notifyPending || c.machine.Revision != before || command.SubmitStep != nil
	proposal, ok := c.proposals[entry.Index]
	if !ok {
		return nil
	}
	delete(c.proposals, entry.Index)
	if proposal.term != entry.Term {
		c.reply(proposal.requester, protocol.ProposeUnknown, state.Result{})
		return nil
	}
	c.reply(proposal.requester, protocol.ProposeDone, result)
	return nil
}

// updateLeases adds and removes leases as nodes are registered and expired.
func (c *Core) updateLeases(command state.Command, result state.Result) {
	if c.leases == nil {
		return
	}
	switch {
	case command.RegisterNode != nil:
		current := c.leases[command.RegisterNode.ID]
		if current == nil || current.epoch != result.Register.Epoch {
			c.leases[command.RegisterNode.ID] = &lease{epoch: result.Register.Epoch, renewedAt: c.clock.Monotonic}
		}
	case command.ExpireNode != nil && result.Found:
		delete(c.leases, command.ExpireNode.ID)
	}
}

// compact makes a snapshot when the log exceeds both the configured size and the
// size of the last snapshot, so that snapshots cost no more than the log itself.
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

// TakeSnapshot returns the snapshot to be persisted, or nil, and clears it.
func (c *Core) TakeSnapshot() *consensus.Snapshot {
	snapshot := c.snapshot
	c.snapshot = nil
	return snapshot
}

// TakeMessages returns and clears the messages to be sent.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeReplies returns and clears the replies to local requests.
func (c *Core) TakeReplies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}
