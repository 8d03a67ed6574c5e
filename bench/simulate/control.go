package simulate

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

const (
	controlTickMillis = 50
	electionTicks     = 10
	leaseMillis       = 3000
	replaceMillis     = 5000
	// snapshotBytes is small, so that snapshots happen within a run.
	snapshotBytes = 32 << 10
	maxSyncMillis = 8
)

// disk is what a control replica has synced.
type disk struct {
	identity  consensus.ReplicaID
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
}

// save applies a Ready to the disk, as one transaction.
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
	// saving is set while a sync is under way; calls wait in the inbox.
	saving  *consensus.Ready
	inbox   []func()
	calls   map[uint64]*rpc
	nextID  uint64
	joining bool
	led     bool
}

func (c *controlProcess) clock() control.Clock {
	return control.Clock{Monotonic: c.monotonic(), Wall: c.wall()}
}

func (c *controlProcess) start() {
	c.birth()
	c.saving, c.inbox, c.calls = nil, nil, map[uint64]*rpc{}
	core, err := control.New(control.Config{
		Consensus: consensus.Config{
			ID: c.disk.identity, ElectionTicks: electionTicks, HeartbeatTicks: 2, MaxAppendBytes: 1 << 20,
			Seed: c.cluster.world.random.Uint64(), HardState: c.disk.hardState,
			Snapshot: c.disk.snapshot, Entries: append([]consensus.Entry(nil), c.disk.entries...),
		},
		Address: c.address, TickMillis: controlTickMillis, LeaseMillis: leaseMillis,
		ReconcileMillis: 200, ReplaceMillis: replaceMillis, SnapshotBytes: snapshotBytes,
		ListGraceMillis: 2000,
	})
	if err != nil {
		panic("simulate: a replica's own snapshot must restore: " + err.Error())
	}
	c.core = core
	c.tick()
	c.pollPlatform()
}

// call runs a function on the core and flushes what came of it, after a sync
// under way has ended.
func (c *controlProcess) call(run func()) {
	c.inbox = append(c.inbox, run)
	c.drain()
}

func (c *controlProcess) drain() {
	for c.saving == nil {
		for len(c.inbox) > 0 {
			run := c.inbox[0]
			c.inbox = c.inbox[1:]
			run()
		}
		c.flush()
		if c.saving == nil && len(c.inbox) == 0 {
			return
		}
	}
}

// flush starts a sync if there is anything to persist, and otherwise sends what
// there is.
func (c *controlProcess) flush() {
	for c.saving == nil && c.core.HasReady() {
		ready := c.core.Ready()
		if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
			c.advance(ready)
			continue
		}
		c.saving = &ready
		c.after(c.world.between(0, maxSyncMillis), func() {
			c.disk.save(ready)
			c.saving = nil
			c.advance(ready)
			c.drain()
		})
	}
	c.emit()
}

func (c *controlProcess) advance(ready consensus.Ready) {
	if err := c.core.Advance(ready); err != nil {
		panic("simulate: a committed entry must apply: " + err.Error())
	}
	if snapshot := c.core.TakeSnapshot(); snapshot != nil {
		c.disk.saveSnapshot(*snapshot)
	}
	c.emit()
}

func (c *controlProcess) emit() {
	for _, outgoing := range c.core.TakeMessages() {
		c.cluster.send(c.process, outgoing.Address, outgoing.Message)
	}
	for _, reply := range c.core.TakeReplies() {
		if waiting := c.calls[reply.ID]; waiting != nil {
			delete(c.calls, reply.ID)
			waiting.answer(c, reply)
		}
	}
}

func (c *controlProcess) receive(message protocol.Message) {
	c.call(func() { c.core.Receive(c.clock(), message) })
}

func (c *controlProcess) tick() {
	c.call(func() { c.core.Tick(c.clock()) })
	if gained := c.leads() && !c.led; gained {
		c.readPlatform()
	}
	c.led = c.leads()
	c.after(controlTickMillis, c.tick)
}

func (c *controlProcess) leads() bool {
	return c.alive && c.core.Raft().Role() == consensus.Leader
}

// kill ends the process. A sync under way may or may not have reached the disk.
func (c *controlProcess) kill() {
	if c.alive && c.saving != nil && c.world.percent(50) {
		c.disk.save(*c.saving)
	}
	c.death()
}

// wipe loses the disk: the replica comes back as a new one that asks to join.
func (c *controlProcess) wipe() {
	c.death()
	c.cluster.identities++
	c.disk = &disk{identity: c.cluster.identities}
	c.joining = true
}

const joinMillis = 1000

// join asks members until the replica is one of them.
func (c *controlProcess) join() {
	if _, member := c.core.Raft().Membership().Member(c.core.Raft().ID()); member {
		c.joining = false
		return
	}
	target := c.cluster.controls[c.world.random.IntN(len(c.cluster.controls))]
	c.cluster.send(c.process, target.address, protocol.Message{
		From: c.address, Join: &protocol.Join{ID: c.core.Raft().ID(), Address: c.address},
	})
	c.after(joinMillis, c.join)
}

const platformPollMillis = 1000

func (c *controlProcess) pollPlatform() {
	c.readPlatform()
	c.after(platformPollMillis, c.pollPlatform)
}

func (c *controlProcess) readPlatform() {
	if c.leads() && !c.world.cut(c.process, c.cluster.platform) {
		listed := append([]state.Engine(nil), c.cluster.listed...)
		c.call(func() { c.core.ListEngines(c.clock(), listed) })
	}
}
