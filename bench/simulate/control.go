package simulate

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

const (
	controlTickMillis  = 50
	electionTicks      = 10
	leaseMillis        = 3000
	replaceAfterMillis = 5000
	// snapshotBytes is small, so that each run takes snapshots.
	snapshotBytes = 32 << 10
	maxSyncMillis = 8
)

// disk is the durable state of a control replica.
type disk struct {
	replicaID consensus.ReplicaID
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
}

// save writes the changes of a Ready to the disk atomically.
func (d *disk) save(ready consensus.Ready) {
	if ready.Snapshot != nil {
		d.snapshot, d.entries = *ready.Snapshot, nil
	}
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		kept := ready.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:kept:kept], ready.Entries...)
	}
}

func (d *disk) saveSnapshot(snapshot consensus.Snapshot) {
	d.entries = append([]consensus.Entry(nil), d.entries[snapshot.Index-d.snapshot.Index:]...)
	d.snapshot = snapshot
}

// controlProcess is a control replica.
type controlProcess struct {
	*process
	cluster *cluster
	disk    *disk
	core    *control.Core
	// syncing is the Ready being synced to disk, if any. Calls wait in the inbox meanwhile.
	syncing      *consensus.Ready
	inbox        []func()
	pendingCalls map[uint64]*pendingCall
	nextID       uint64
	joining      bool
	wasLeader    bool
}

func (c *controlProcess) clock() control.Clock {
	return control.Clock{Monotonic: c.monotonicClock(), Wall: c.wallClock()}
}

func (c *controlProcess) start() {
	c.markStarted()
	c.syncing, c.inbox, c.pendingCalls = nil, nil, map[uint64]*pendingCall{}
	core, err := control.New(control.Config{
		Consensus: consensus.Config{
			ID: c.disk.replicaID, ElectionTicks: electionTicks, HeartbeatTicks: 2, MaxAppendBytes: 1 << 20,
			Seed: c.cluster.world.random.Uint64(), HardState: c.disk.hardState,
			Snapshot: c.disk.snapshot, Entries: append([]consensus.Entry(nil), c.disk.entries...),
		},
		Address: c.address, TickMillis: controlTickMillis, LeaseMillis: leaseMillis,
		ReconcileMillis: 200, ReplaceMillis: replaceAfterMillis, SnapshotBytes: snapshotBytes,
		ListGraceMillis: 2000,
	})
	if err != nil {
		panic("simulate: restore the replica from its own snapshot: " + err.Error())
	}
	c.core = core
	c.tick()
	c.pollPlatform()
}

// submit runs a function on the core and flushes its output, after the current sync has finished.
func (c *controlProcess) submit(run func()) {
	c.inbox = append(c.inbox, run)
	c.processInbox()
}

func (c *controlProcess) processInbox() {
	for c.syncing == nil {
		for len(c.inbox) > 0 {
			run := c.inbox[0]
			c.inbox = c.inbox[1:]
			run()
		}
		c.flush()
		if c.syncing == nil && len(c.inbox) == 0 {
			return
		}
	}
}

// flush starts a sync if there is anything to persist, and sends the pending output.
func (c *controlProcess) flush() {
	for c.syncing == nil && c.core.HasReady() {
		ready := c.core.Ready()
		if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
			c.advance(ready)
			continue
		}
		c.syncing = &ready
		c.after(c.world.randomBetween(0, maxSyncMillis), func() {
			c.disk.save(ready)
			c.syncing = nil
			c.advance(ready)
			c.processInbox()
		})
	}
	c.sendOutput()
}

func (c *controlProcess) advance(ready consensus.Ready) {
	if err := c.core.Advance(ready); err != nil {
		panic("simulate: apply a committed entry: " + err.Error())
	}
	if snapshot := c.core.TakeSnapshot(); snapshot != nil {
		c.disk.saveSnapshot(*snapshot)
	}
	c.sendOutput()
}

func (c *controlProcess) sendOutput() {
	for _, outgoing := range c.core.TakeMessages() {
		c.cluster.sendMessage(c.process, outgoing.Address, outgoing.Message)
	}
	for _, reply := range c.core.TakeReplies() {
		if call := c.pendingCalls[reply.ID]; call != nil {
			delete(c.pendingCalls, reply.ID)
			call.sendReply(c, reply)
		}
	}
}

func (c *controlProcess) receive(message protocol.Message) {
	c.submit(func() { c.core.Receive(c.clock(), message) })
}

func (c *controlProcess) tick() {
	c.submit(func() { c.core.Tick(c.clock()) })
	if becameLeader := c.isLeader() && !c.wasLeader; becameLeader {
		c.readPlatform()
	}
	c.wasLeader = c.isLeader()
	c.after(controlTickMillis, c.tick)
}

func (c *controlProcess) isLeader() bool {
	return c.alive && c.core.Raft().Role() == consensus.Leader
}

// kill crashes the process. A sync in progress may or may not reach the disk.
func (c *controlProcess) kill() {
	if c.alive && c.syncing != nil && c.world.randomPercent(50) {
		c.disk.save(*c.syncing)
	}
	c.markStopped()
}

// wipeDisk crashes the process and loses its disk. It restarts as a new replica, which asks to join.
func (c *controlProcess) wipeDisk() {
	c.markStopped()
	c.cluster.lastReplicaID++
	c.disk = &disk{replicaID: c.cluster.lastReplicaID}
	c.joining = true
}

const joinRetryMillis = 1000

// join asks random members to admit the replica until it is a member.
func (c *controlProcess) join() {
	if _, member := c.core.Raft().Membership().Member(c.core.Raft().ID()); member {
		c.joining = false
		return
	}
	target := c.cluster.controls[c.world.random.IntN(len(c.cluster.controls))]
	c.cluster.sendMessage(c.process, target.address, protocol.Message{
		From: c.address, Join: &protocol.Join{ID: c.core.Raft().ID(), Address: c.address},
	})
	c.after(joinRetryMillis, c.join)
}

const platformPollMillis = 1000

func (c *controlProcess) pollPlatform() {
	c.readPlatform()
	c.after(platformPollMillis, c.pollPlatform)
}

func (c *controlProcess) readPlatform() {
	if c.isLeader() && !c.world.blocked(c.process, c.cluster.platform) {
		listed := append([]state.Engine(nil), c.cluster.listedEngines...)
		c.submit(func() { c.core.ListEngines(c.clock(), listed) })
	}
}
