// Package replica keeps a state machine in agreement among a group of
// processes. Core is the pure part: consensus, proposals, confirmed reads and
// the reconcile loop of the group's membership, without clock, disk or socket.
// Replica runs a Core in a process.
package replica

import (
	"io"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// Machine is a replicated state. Apply must be a pure function of the state and
// the command.
type Machine interface {
	// Apply carries out a command and returns its encoded result.
	Apply(command []byte) []byte
	// Snapshot returns a function that writes the state as it is now, piece by
	// piece. It may be called from another goroutine while commands are applied.
	Snapshot() func(io.Writer) error
	// Restore replaces the state by a written one; nothing to read is the state
	// before the first command.
	Restore(reader io.Reader) error
}

// Checked is a Machine that may meet what it cannot apply.
type Checked interface {
	// Err returns why nothing can be applied any more, or nil.
	Err() error
}

// CoreConfig holds what a Core needs to start.
type CoreConfig struct {
	Consensus consensus.Config
	// Address is where other processes reach this replica.
	Address string
	// Voters is the number of voters that the membership loop aims at.
	Voters int
	// Standby, if not 0, bounds the learners that are kept to take the places of
	// lost voters; with 0 every process that asks becomes a learner.
	Standby int
	// SilentTicks is how long a voter must be silent before a caught-up
	// learner takes its place.
	SilentTicks int
	// SnapshotBytes is the least size of the log that makes a snapshot.
	SnapshotBytes int
	// SnapshotEntries is the least number of entries that makes a snapshot, so
	// that a log of many small entries is bounded too.
	SnapshotEntries int
}

// Outcome tells what became of a request.
type Outcome uint8

// The outcomes.
const (
	// Done: the command is committed and applied, or the read is confirmed.
	Done Outcome = iota + 1
	// NotLeader: this replica cannot serve the request, and nothing was done.
	NotLeader
	// Unknown: the command may or may not be carried out.
	Unknown
)

// Reply answers a request.
type Reply struct {
	ID      uint64
	Outcome Outcome
	Result  []byte
}

// Outgoing is a message for another replica.
type Outgoing struct {
	Address string
	Message protocol.Message
}

type waiter struct {
	term uint64
	id   uint64
}

// Core is one replica. Its methods must not be called concurrently.
type Core struct {
	config  CoreConfig
	raft    *consensus.Raft
	machine Machine
	applied uint64

	waiting map[uint64]waiter
	// reads holds the IDs of reads that wait for their confirmation.
	reads     *consensus.ReadTracker[uint64]
	addresses map[consensus.ReplicaID]string
	// leadingTerm is the term that this replica leads in, or 0.
	leadingTerm uint64
	ticks       int
	// retiring are the replicas that the operator wants out of the group.
	retiring map[consensus.ReplicaID]bool
	// superseded are replicas whose process has come back under another identity.
	superseded map[consensus.ReplicaID]bool
	// required is the version of the machine's commands that whoever is let in must know.
	required uint64

	logBytes     int
	snapshotSize int
	// job is the snapshot that is being made, and offered one that the caller
	// has not taken yet.
	job, offered *SnapshotJob
	outbox       []Outgoing
	replies      []Reply
}

// NewCore returns a replica that continues from what storage held, with the
// state that the reader holds. It fails if that cannot be decoded.
func NewCore(config CoreConfig, machine Machine, state io.Reader) (*Core, error) {
	if err := machine.Restore(state); err != nil {
		return nil, err
	}
	config.Consensus.Snapshot.Data = nil
	c := &Core{
		config: config, raft: consensus.New(config.Consensus), machine: machine,
		applied: config.Consensus.Snapshot.Index,
		waiting: map[uint64]waiter{}, reads: consensus.NewReadTracker[uint64](),
		addresses: map[consensus.ReplicaID]string{}, retiring: map[consensus.ReplicaID]bool{},
		superseded: map[consensus.ReplicaID]bool{},
	}
	for _, entry := range config.Consensus.Entries {
		c.logBytes += len(entry.Data)
	}
	return c, nil
}

// Raft returns the replica's consensus state, for inspection only.
func (c *Core) Raft() *consensus.Raft { return c.raft }

// Leading tells whether this replica leads.
func (c *Core) Leading() bool { return c.raft.Role() == consensus.Leader }

// Serving tells whether this replica leads and has applied all that earlier
// leaders have committed, so that it may act on its state.
func (c *Core) Serving() bool {
	return c.Leading() && c.raft.CommittedInTerm() && c.applied == c.raft.Commit()
}

// Senders returns the addresses that replicas have sent from since the start.
func (c *Core) Senders() []string { return slices.Sorted(maps.Values(c.addresses)) }

// LeaderAddress returns the leader's address, or "" if it is not known.
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

// Tick advances consensus by one tick and runs the leader's membership loop.
func (c *Core) Tick() {
	c.ticks++
	c.raft.Tick()
	c.noticeLeadership()
	if c.Leading() && c.ticks%reconcileTicks == 0 {
		c.reconcileMembership()
	}
}

// Receive takes in a message of another replica.
func (c *Core) Receive(message protocol.Message) {
	switch {
	case message.Consensus != nil:
		c.addresses[message.Consensus.From] = message.From
		c.raft.Step(*message.Consensus)
	case message.Join != nil:
		c.receiveJoin(*message.Join)
	}
	c.noticeLeadership()
}

// Propose asks for a command to be committed; the reply carries the ID.
func (c *Core) Propose(id uint64, command []byte) {
	index, term, ok := c.raft.Propose(command)
	if !ok {
		c.answer(id, NotLeader, nil)
		return
	}
	c.waiting[index] = waiter{term: term, id: id}
}

// Read asks for a confirmation that the machine reflects every command that
// was acknowledged before the call; the reply carries the ID.
func (c *Core) Read(id uint64) {
	if !c.Leading() {
		c.answer(id, NotLeader, nil)
		return
	}
	c.reads.Begin(c.raft, id)
}

// TransferLeadership hands leadership to the most complete other voter, and
// tells whether there is one.
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

func (c *Core) answer(id uint64, outcome Outcome, result []byte) {
	if id != 0 {
		c.replies = append(c.replies, Reply{ID: id, Outcome: outcome, Result: result})
	}
}

// noticeLeadership answers all who wait when a leadership ends.
func (c *Core) noticeLeadership() {
	if c.Leading() {
		c.leadingTerm = c.raft.Term()
		return
	}
	if c.leadingTerm == 0 {
		return
	}
	c.leadingTerm = 0
	for index, waiting := range c.waiting {
		c.answer(waiting.id, Unknown, nil)
		delete(c.waiting, index)
	}
}

// HasReady tells whether there is anything to persist, send or apply.
func (c *Core) HasReady() bool { return c.raft.HasReady() }

// Ready returns what has to be persisted before Advance.
func (c *Core) Ready() consensus.Ready { return c.raft.Ready() }

// Advance carries on after the Ready has been persisted: it sends its messages
// and applies its committed entries. If the Ready holds a snapshot, state reads
// its data; it fails if that cannot be decoded, or the machine cannot apply an entry.
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
		c.applied, c.logBytes = ready.Snapshot.Index, 0
	}
	for _, entry := range ready.Committed {
		c.applyEntry(entry)
	}
	if checked, ok := c.machine.(Checked); ok && checked.Err() != nil {
		return checked.Err()
	}
	c.raft.Advance(ready)
	c.raft.DropSnapshotData()
	c.noticeLeadership()
	c.confirmReads(ready)
	c.compact()
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
	c.applied = entry.Index
	if entry.Kind != consensus.EntryNormal || len(entry.Data) == 0 {
		return
	}
	result := c.machine.Apply(entry.Data)
	waiting, ok := c.waiting[entry.Index]
	if !ok {
		return
	}
	delete(c.waiting, entry.Index)
	if waiting.term != entry.Term {
		c.answer(waiting.id, Unknown, nil)
		return
	}
	c.answer(waiting.id, Done, result)
}

func (c *Core) confirmReads(ready consensus.Ready) {
	for _, id := range c.reads.TakeRejected(ready) {
		c.answer(id, NotLeader, nil)
	}
	for _, id := range c.reads.TakeServable(ready, c.applied) {
		c.answer(id, Done, nil)
	}
}

// SnapshotJob is a snapshot to be encoded and persisted, which may take long
// and need not hold the replica up.
type SnapshotJob struct {
	// Snapshot lacks its data, which Write writes.
	Snapshot consensus.Snapshot
	Write    func(io.Writer) error
	logBytes int
}

// logShare is the part of the last snapshot's size that the log may have.
const logShare = 2

// compact asks for a snapshot when the log has outgrown both the configured size
// and a part of the last snapshot, so that snapshots cost in proportion to the log.
func (c *Core) compact() {
	entries := c.raft.LogSize()
	grown := c.logBytes >= max(c.config.SnapshotBytes, c.snapshotSize/logShare)
	grown = grown || c.config.SnapshotEntries > 0 && entries >= c.config.SnapshotEntries
	if !grown || c.job != nil {
		return
	}
	if snapshot, ok := c.raft.SnapshotMetadata(c.applied); ok {
		c.job = &SnapshotJob{Snapshot: snapshot, Write: c.machine.Snapshot(), logBytes: c.logBytes}
		c.offered = c.job
	}
}

// TakeSnapshotJob returns a snapshot to be made, or nil. FinishSnapshot must
// follow once it is durable.
func (c *Core) TakeSnapshotJob() *SnapshotJob {
	job := c.offered
	c.offered = nil
	return job
}

// FinishSnapshot takes in that the job's snapshot is durable with data of the
// size, and drops the log up to it. It returns the index up to which the stored
// log may be dropped, or 0. The data is not kept: messages that carry a snapshot
// leave it to the caller to add the newest durable one.
func (c *Core) FinishSnapshot(job *SnapshotJob, size int) uint64 {
	c.job = nil
	if _, ok := c.raft.Compact(job.Snapshot.Index, nil); !ok {
		return 0
	}
	c.logBytes -= job.logBytes
	c.snapshotSize = size
	return job.Snapshot.Index
}

// TakeMessages returns the messages to be sent and forgets them.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeReplies returns the replies and forgets them.
func (c *Core) TakeReplies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}
