// Package replica replicates a state machine across a group of processes. Core contains consensus,
// proposals, confirmed reads and membership reconciliation, and uses no clock, disk or network.
// Replica runs a Core in a process.
package replica

import (
	"io"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// Machine is a replicated state machine. Apply must be a pure function of the state and the command.
type Machine interface {
	// Apply applies a command and returns its encoded result.
	Apply(command []byte) []byte
	// Snapshot returns a function that writes the current state in chunks. It may be called from
	// another goroutine while commands are applied.
	Snapshot() func(io.Writer) error
	// Restore replaces the state with a snapshot. An empty reader restores the initial state.
	Restore(reader io.Reader) error
}

// Fallible is a Machine that can fail to apply a command.
type Fallible interface {
	// Err returns the error that prevents further commands from being applied, or nil.
	Err() error
}

// CoreConfig configures a Core.
type CoreConfig struct {
	Consensus consensus.Config
	// Address is the address at which other processes reach this replica.
	Address string
	// Voters is the target number of voters.
	Voters int
	// StandbyLearners, if not 0, limits the learners that are kept to replace lost voters. With 0 every
	// process that asks becomes a learner.
	StandbyLearners int
	// SilentTicks is the number of ticks without a response after which a caught-up learner replaces
	// a voter.
	SilentTicks int
	// SnapshotBytes is the minimum size of the log that triggers a snapshot.
	SnapshotBytes int
	// SnapshotEntries is the number of log entries that triggers a snapshot regardless of their size.
	SnapshotEntries int
}

// Outcome is the result of a proposal or a read.
type Outcome uint8

// Outcomes.
const (
	// Done: the command is committed and applied, or the read is confirmed.
	Done Outcome = iota + 1
	// NotLeader: this replica cannot serve the request, which had no effect.
	NotLeader
	// Unknown: the command may or may not be committed.
	Unknown
)

// Reply is the reply to a proposal or a read.
type Reply struct {
	ID      uint64
	Outcome Outcome
	Result  []byte
}

// Outgoing is a message to another replica.
type Outgoing struct {
	Address string
	Message protocol.Message
}

type pendingProposal struct {
	term uint64
	id   uint64
}

// Core is one replica of the group. It is not safe for concurrent use.
type Core struct {
	config       CoreConfig
	raft         *consensus.Raft
	machine      Machine
	appliedIndex uint64

	pending map[uint64]pendingProposal
	// reads holds the IDs of unconfirmed reads.
	reads     *consensus.ReadTracker[uint64]
	addresses map[consensus.ReplicaID]string
	// leadingTerm is the term in which this replica is the leader, or 0.
	leadingTerm uint64
	ticks       int
	// retiring are the replicas that the operator wants to remove.
	retiring map[consensus.ReplicaID]bool
	// superseded are members whose address is now used by a replica with another identity.
	superseded map[consensus.ReplicaID]bool
	// requiredVersion is the command version that a replica must support to be admitted.
	requiredVersion uint64

	logBytes     int
	snapshotSize int
	// job is the snapshot being written; untakenJob is one that TakeSnapshotJob has not returned yet.
	job, untakenJob *SnapshotJob
	outbox          []Outgoing
	replies         []Reply
}

// NewCore returns a replica that continues from the stored state in the configuration and the machine's
// state in the reader. It fails if that state cannot be decoded.
func NewCore(config CoreConfig, machine Machine, state io.Reader) (*Core, error) {
	if err := machine.Restore(state); err != nil {
		return nil, err
	}
	config.Consensus.Snapshot.Data = nil
	c := &Core{
		config: config, raft: consensus.New(config.Consensus), machine: machine,
		appliedIndex: config.Consensus.Snapshot.Index,
		pending:      map[uint64]pendingProposal{}, reads: consensus.NewReadTracker[uint64](),
		addresses: map[consensus.ReplicaID]string{}, retiring: map[consensus.ReplicaID]bool{},
		superseded: map[consensus.ReplicaID]bool{},
	}
	for _, entry := range config.Consensus.Entries {
		c.logBytes += len(entry.Data)
	}
	return c, nil
}

// Raft returns the replica's consensus state, which callers must not modify.
func (c *Core) Raft() *consensus.Raft { return c.raft }

// Leading reports whether this replica is the leader.
func (c *Core) Leading() bool { return c.raft.Role() == consensus.Leader }

// Serving reports whether this replica is the leader and has applied everything that earlier leaders
// committed, so that it may act on its state.
func (c *Core) Serving() bool {
	return c.Leading() && c.raft.CommittedInTerm() && c.appliedIndex == c.raft.Commit()
}

// SenderAddresses returns the addresses from which consensus messages have come since the start.
func (c *Core) SenderAddresses() []string { return slices.Sorted(maps.Values(c.addresses)) }

// LeaderAddress returns the leader's address, or "" if it is unknown.
func (c *Core) LeaderAddress() string {
	if c.Leading() {
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

// Tick advances consensus by one tick and, on the leader, reconciles the membership.
func (c *Core) Tick() {
	c.ticks++
	c.raft.Tick()
	c.updateLeadership()
	if c.Leading() && c.ticks%reconcileTicks == 0 {
		c.reconcileMembership()
	}
}

// Receive handles a message from another replica.
func (c *Core) Receive(message protocol.Message) {
	switch {
	case message.Consensus != nil:
		c.addresses[message.Consensus.From] = message.From
		c.raft.Step(*message.Consensus)
	case message.Join != nil:
		c.receiveJoin(*message.Join)
	}
	c.updateLeadership()
}

// Propose proposes a command. The reply carries the ID.
func (c *Core) Propose(id uint64, command []byte) {
	index, term, ok := c.raft.Propose(command)
	if !ok {
		c.addReply(id, NotLeader, nil)
		return
	}
	c.pending[index] = pendingProposal{term: term, id: id}
}

// Read confirms that the machine reflects every command acknowledged before the call. The reply
// carries the ID.
func (c *Core) Read(id uint64) {
	if !c.Leading() {
		c.addReply(id, NotLeader, nil)
		return
	}
	c.reads.Begin(c.raft, id)
}

// TransferLeadership starts a transfer of leadership to the most up-to-date other voter, and reports
// whether it was started.
func (c *Core) TransferLeadership() bool {
	best, bestMatch := consensus.None, uint64(0)
	for _, member := range c.raft.Membership().Members {
		match, silent := c.raft.Match(member.ID)
		eligible := member.Voter && member.ID != c.raft.ID() && !c.retiring[member.ID] &&
			silent <= c.config.Consensus.ElectionTicks
		if eligible && match >= bestMatch {
			best, bestMatch = member.ID, match
		}
	}
	return best != consensus.None && c.raft.TransferLeadership(best)
}

func (c *Core) addReply(id uint64, outcome Outcome, result []byte) {
	if id != 0 {
		c.replies = append(c.replies, Reply{ID: id, Outcome: outcome, Result: result})
	}
}

// updateLeadership records the leading term, and replies Unknown to all proposals once leadership is lost.
func (c *Core) updateLeadership() {
	if c.Leading() {
		c.leadingTerm = c.raft.Term()
		return
	}
	if c.leadingTerm == 0 {
		return
	}
	c.leadingTerm = 0
	for index, proposal := range c.pending {
		c.addReply(proposal.id, Unknown, nil)
		delete(c.pending, index)
	}
}

// HasReady reports whether there is anything to persist, send or apply.
func (c *Core) HasReady() bool { return c.raft.HasReady() }

// Ready returns the state to be persisted before Advance.
func (c *Core) Ready() consensus.Ready { return c.raft.Ready() }

// Advance continues after the Ready has been persisted: it queues its messages and applies its committed
// entries. If the Ready holds a snapshot, state reads its data. It fails if the snapshot cannot be
// decoded or an entry cannot be applied.
func (c *Core) Advance(ready consensus.Ready, state io.Reader) error {
	for _, message := range ready.Messages {
		consensusMessage := message
		c.send(c.address(message.To), protocol.Message{Consensus: &consensusMessage})
	}
	for _, entry := range ready.Entries {
		c.logBytes += len(entry.Data)
	}
	if ready.Snapshot != nil {
		if err := c.machine.Restore(state); err != nil {
			return err
		}
		c.appliedIndex, c.logBytes = ready.Snapshot.Index, 0
	}
	for _, entry := range ready.Committed {
		c.applyEntry(entry)
	}
	if fallible, ok := c.machine.(Fallible); ok && fallible.Err() != nil {
		return fallible.Err()
	}
	c.raft.Advance(ready)
	c.raft.DropSnapshotData()
	c.updateLeadership()
	c.confirmReads(ready)
	c.maybeStartSnapshot()
	return nil
}

func (c *Core) send(address string, message protocol.Message) {
	if address == "" {
		return
	}
	message.From = c.config.Address
	c.outbox = append(c.outbox, Outgoing{Address: address, Message: message})
}

func (c *Core) applyEntry(entry consensus.Entry) {
	c.appliedIndex = entry.Index
	if entry.Kind != consensus.EntryNormal || len(entry.Data) == 0 {
		return
	}
	result := c.machine.Apply(entry.Data)
	proposal, ok := c.pending[entry.Index]
	if !ok {
		return
	}
	delete(c.pending, entry.Index)
	if proposal.term != entry.Term {
		c.addReply(proposal.id, Unknown, nil)
		return
	}
	c.addReply(proposal.id, Done, result)
}

func (c *Core) confirmReads(ready consensus.Ready) {
	for _, id := range c.reads.TakeRejected(ready) {
		c.addReply(id, NotLeader, nil)
	}
	for _, id := range c.reads.TakeServable(ready, c.appliedIndex) {
		c.addReply(id, Done, nil)
	}
}

// SnapshotJob is a snapshot to be encoded and persisted concurrently with the Core.
type SnapshotJob struct {
	// Snapshot has no data; Write writes it.
	Snapshot consensus.Snapshot
	Write    func(io.Writer) error
	logBytes int
}

// snapshotSizeDivisor divides the size of the last snapshot to get the minimum log size for the next one.
const snapshotSizeDivisor = 2

// maybeStartSnapshot starts a snapshot when the log exceeds both the configured size and a fraction of the
// last snapshot, which limits the cost of snapshots in proportion to the log, or has too many entries.
func (c *Core) maybeStartSnapshot() {
	entries := c.raft.LogSize()
	grown := c.logBytes >= max(c.config.SnapshotBytes, c.snapshotSize/snapshotSizeDivisor)
	grown = grown || c.config.SnapshotEntries > 0 && entries >= c.config.SnapshotEntries
	if !grown || c.job != nil {
		return
	}
	if snapshot, ok := c.raft.SnapshotMetadata(c.appliedIndex); ok {
		c.job = &SnapshotJob{Snapshot: snapshot, Write: c.machine.Snapshot(), logBytes: c.logBytes}
		c.untakenJob = c.job
	}
}

// LogBytes returns the size of the applied log entries that no snapshot covers yet.
func (c *Core) LogBytes() int { return c.logBytes }

// TakeSnapshotJob returns a snapshot to be written, or nil. The caller must call FinishSnapshot once it
// is durable.
func (c *Core) TakeSnapshotJob() *SnapshotJob {
	job := c.untakenJob
	c.untakenJob = nil
	return job
}

// FinishSnapshot is called when the job's snapshot is durable; size is the size of its data. It compacts
// the log and returns the index up to which the stored log may be dropped, or 0. The Core doesn't keep
// the data: the caller adds the newest durable snapshot to messages that carry one.
func (c *Core) FinishSnapshot(job *SnapshotJob, size int) uint64 {
	c.job = nil
	if _, ok := c.raft.Compact(job.Snapshot.Index, nil); !ok {
		return 0
	}
	c.logBytes -= job.logBytes
	c.snapshotSize = size
	return job.Snapshot.Index
}

// TakeMessages returns and clears the messages to be sent.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeReplies returns and clears the replies.
func (c *Core) TakeReplies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}
