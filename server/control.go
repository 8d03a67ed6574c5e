// Package server implements the processes of dillchute: gateways, replicas of the directory and the ledger,
// control replicas and nodes. It connects the packages that hold their logic to clocks, storage, the
// transport and HTTP.
package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"github.com/dillchute/dillchute/storage"
	"github.com/dillchute/dillchute/transport"
)

const (
	heartbeatTicks  = 2
	maxAppendBytes  = 4 << 20
	reconcileMillis = 200
	// platformPollInterval is the time between reads of the platform's engine list.
	platformPollInterval = time.Second
	platformTimeout      = 2 * time.Second
	joinInterval         = time.Second
	shutdownTimeout      = 5 * time.Second
	// transferTimeout is how long a graceful shutdown waits for the transfer of leadership.
	transferTimeout = 2 * time.Second
)

// Control runs one control replica.
type Control struct {
	settings  config.Control
	logger    *zerolog.Logger
	store     *storage.Store
	core      *control.Core
	loop      *eventloop.Loop
	transport *transport.Transport
	intake    *intake.Intake
	// outside is the client for the list of engines.
	outside *http.Client
	start   time.Time
	// join holds the addresses of members to ask for admission to the group.
	join []string

	nextID         uint64
	pendingReplies map[uint64]chan control.Reply
	isLeader       bool
	// leadershipGained is signalled when this replica becomes leader.
	leadershipGained chan struct{}
	status           atomic.Pointer[controlStatus]
}

// controlStatus is the status that metrics and health checks read outside the event loop.
type controlStatus struct {
	leading, ready      bool
	term, commit        uint64
	logEntries          int
	nodes, engines      int
	revision            uint64
	pending, unfinished map[string]int
	counters            map[string]state.Counters
}

// NewControl opens the replica's data folder. If join is not empty, the replica asks those members to admit
// it as a learner.
func NewControl(settings config.Control, join []string, logger *zerolog.Logger) (*Control, error) {
	store, contents, err := storage.Open(settings.DataFolder, settings.Cluster)
	if err != nil {
		return nil, err
	}
	core, err := control.New(control.Config{
		Consensus: consensus.Config{
			ID: contents.Identity.Replica, ElectionTicks: settings.ElectionTicks, HeartbeatTicks: heartbeatTicks,
			MaxAppendBytes: maxAppendBytes, Seed: uint64(time.Now().UnixNano()),
			HardState: contents.HardState, Snapshot: contents.Snapshot, Entries: contents.Entries,
		},
		Address: settings.Address, TickMillis: settings.Tick.Milliseconds(), LeaseMillis: settings.Lease.Milliseconds(),
		ReconcileMillis: reconcileMillis, ReplaceMillis: settings.ReplaceAfter.Milliseconds(),
		ListGraceMillis: listGrace(settings).Milliseconds(), SnapshotBytes: settings.SnapshotBytes,
	})
	if err != nil {
		store.Close()
		return nil, storage.ErrCorrupt.Wrap(err, "restore the snapshot")
	}
	c := &Control{
		settings: settings, logger: logger, intake: intake.New(intake.NewCapacity(0, 0)), outside: newOutsideClient(), store: store, core: core, loop: eventloop.New(),
		start: clock.Now(), join: join, leadershipGained: make(chan struct{}, 1), pendingReplies: map[uint64]chan control.Reply{},
	}
	c.status.Store(&controlStatus{})
	c.transport = transport.New(logger, c.intake.Replication, c.receive)
	return c, nil
}

// listGrace returns how long a new leader waits for the platform's engine list.
func listGrace(settings config.Control) time.Duration {
	if settings.PlatformURL == "" {
		return 0
	}
	return platformTimeout
}

func (c *Control) clock() control.Clock {
	return control.Clock{Monotonic: clock.Since(c.start).Milliseconds(), Wall: time.Now().UnixMilli()}
}

func (c *Control) receive(message protocol.Message) {
	c.loop.Submit(func() { c.core.Receive(c.clock(), message) })
}

// Run serves on the listener until the context ends, then transfers leadership and stops. It returns an
// error if storage fails.
func (c *Control) Run(ctx context.Context, listener net.Listener) error {
	defer c.store.Close()
	defer c.transport.Close()
	event.ControlStarted.On(c.logger).Str("address", c.settings.Address).Uint("replica", uint64(c.core.Raft().ID())).Send()
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	httpServer := c.intake.NewServer(c.routes(), rpcOptions())
	serverFailed := serveHTTP(httpServer, listener, c.logger)
	go c.pollPlatform(ctx)
	go c.requestJoin(ctx)
	go func() {
		select {
		case <-ctx.Done():
			event.ControlStopping.On(c.logger).Send()
			c.transferLeadership()
		case <-serverFailed:
		}
		stopLoop()
	}()
	err := c.loop.Run(loopContext, c.settings.Tick, c.tick, c.flush)
	// A graceful shutdown would never end, because peers keep their streams open.
	httpServer.Close()
	return err
}

func (c *Control) tick() {
	c.core.Tick(c.clock())
	c.updateLeadership()
	c.updateStatus()
}

func (c *Control) updateLeadership() {
	isLeader := c.core.Raft().Role() == consensus.Leader
	if isLeader == c.isLeader {
		return
	}
	c.isLeader = isLeader
	kind := event.LeadershipLost
	if isLeader {
		kind = event.LeadershipGained
		select {
		case c.leadershipGained <- struct{}{}:
		default:
		}
	}
	kind.On(c.logger).Uint("term", c.core.Raft().Term()).Send()
}

// flush persists and applies the entries produced by a batch of calls, then sends messages and replies. All
// entries of the batch share one sync.
func (c *Control) flush() error {
	for c.core.HasReady() {
		ready := c.core.Ready()
		if err := c.store.Save(ready); err != nil {
			event.StorageFailed.On(c.logger).Err(err).Send()
			return err
		}
		if err := c.core.Advance(ready); err != nil {
			event.ApplyFailed.On(c.logger).Err(err).Send()
			return err
		}
		if snapshot := c.core.TakeSnapshot(); snapshot != nil {
			if err := c.store.SaveSnapshot(*snapshot); err != nil {
				event.StorageFailed.On(c.logger).Err(err).Send()
				return err
			}
			event.SnapshotSaved.On(c.logger).Uint("index", snapshot.Index).Uint("bytes", uint64(len(snapshot.Data))).Send()
		}
	}
	for _, outgoing := range c.core.TakeMessages() {
		c.transport.Send(outgoing.Address, outgoing.Message)
	}
	for _, reply := range c.core.TakeReplies() {
		if pending, ok := c.pendingReplies[reply.ID]; ok {
			delete(c.pendingReplies, reply.ID)
			pending <- reply
		}
	}
	return nil
}

// call runs the function in the event loop with a new ID, and waits for the reply with this ID. It returns
// false if the context or the loop ends first.
func (c *Control) call(ctx context.Context, request func(id uint64)) (control.Reply, bool) {
	replies := make(chan control.Reply, 1)
	var id uint64
	queued := c.loop.Submit(func() {
		c.nextID++
		id = c.nextID
		c.pendingReplies[id] = replies
		request(id)
	})
	if !queued {
		return control.Reply{}, false
	}
	select {
	case reply := <-replies:
		return reply, true
	case <-c.loop.Done():
		return control.Reply{}, false
	case <-ctx.Done():
		c.loop.Submit(func() { delete(c.pendingReplies, id) })
		return control.Reply{}, false
	}
}

// transferLeadership transfers leadership to another voter before a graceful shutdown.
func (c *Control) transferLeadership() {
	deadline := time.Now().Add(transferTimeout)
	for time.Now().Before(deadline) {
		stillLeader, ok := eventloop.Call(c.loop, func() bool {
			return c.core.Raft().Role() == consensus.Leader && c.core.TransferLeadership(consensus.None)
		})
		if !ok || !stillLeader {
			return
		}
		time.Sleep(c.settings.Tick)
	}
}

// platformEngine is an engine in the platform's engine list.
type platformEngine struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Group   string `json:"group"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

func (c *Control) pollPlatform(ctx context.Context) {
	if c.settings.PlatformURL == "" {
		return
	}
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.leadershipGained:
			// The previous leader may not have seen the latest list.
			c.readPlatform(ctx)
		case <-ticker.C:
			if c.status.Load().leading {
				c.readPlatform(ctx)
			}
		}
	}
}

func (c *Control) readPlatform(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var list []platformEngine
	if err := getJSON(limited, c.outside, c.settings.PlatformURL+"/v1/engines", &list); err != nil {
		event.PlatformUnreachable.On(c.logger).Err(err).Send()
		return
	}
	engines := make([]state.Engine, 0, len(list))
	for _, engine := range list {
		engines = append(engines, state.Engine{
			ID: engine.ID, Zone: engine.Zone, Region: engine.Region, Group: engine.Group,
			Address: engine.Address, Slots: engine.Slots, Listed: engine.Leaving,
		})
	}
	c.loop.Submit(func() { c.core.ListEngines(c.clock(), engines) })
}

// requestJoin asks the members in turn for admission until this replica is a member.
func (c *Control) requestJoin(ctx context.Context) {
	for round := 0; len(c.join) > 0; round++ {
		isMember, ok := eventloop.Call(c.loop, func() bool {
			_, found := c.core.Raft().Membership().Member(c.core.Raft().ID())
			return found
		})
		if !ok || isMember {
			return
		}
		address := c.join[round%len(c.join)]
		event.JoinRequested.On(c.logger).Str("member", address).Send()
		c.transport.Send(address, protocol.Message{
			From: c.settings.Address,
			Join: &protocol.Join{ID: c.core.Raft().ID(), Address: c.settings.Address},
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

func (c *Control) updateStatus() {
	raft, machine := c.core.Raft(), c.core.Machine()
	status := &controlStatus{
		leading: c.isLeader, ready: c.core.LeaderAddress() != "",
		term: raft.Term(), commit: raft.Commit(), logEntries: raft.LogSize(),
		nodes: len(machine.Catalog.Nodes), engines: len(machine.Catalog.Engines), revision: machine.Revision,
		pending: map[string]int{}, unfinished: map[string]int{}, counters: map[string]state.Counters{},
	}
	for name, ledger := range machine.Ledgers {
		status.pending[name], status.unfinished[name] = ledger.Pending(), len(ledger.Samples)
		status.counters[name] = ledger.Counters
	}
	c.status.Store(status)
}
