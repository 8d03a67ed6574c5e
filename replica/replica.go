package replica

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/storage"
	"github.com/dillchute/dillchute/transport"
)

const (
	// TickInterval is the duration of a consensus tick.
	TickInterval  = 50 * time.Millisecond
	electionTicks = 8
	// firstElectionTicks leaves processes that start together time to receive messages.
	firstElectionTicks = 1
	// nonLeaderDelayTicks gives the last leader time to restart and be elected again, if the group is
	// to keep its leader.
	nonLeaderDelayTicks = 4
	heartbeatTicks      = 2
	// silentTicks is the number of ticks without a response after which a learner replaces a voter.
	silentTicks    = 30
	maxAppendBytes = 1 << 20
	// stallThreshold is the delay of a tick from which a stall is logged: an election timeout, after
	// which another replica may lead.
	stallThreshold = electionTicks * TickInterval
	// joinInterval is the time between rounds of join requests. After standbyDelay without admission
	// the replica stands by and sends them every standbyJoinInterval.
	joinInterval              = 300 * time.Millisecond
	standbyDelay              = 10 * time.Second
	standbyJoinInterval       = time.Second
	leadershipTransferTimeout = time.Second
	// storageRetryInterval is the time between attempts to repeat a failed write.
	storageRetryInterval = 100 * time.Millisecond
	// ExecutePath is the path at which a leader accepts commands from other replicas.
	ExecutePath     = "/internal/execute"
	maxCommandBytes = 64 << 20
	snapshotBytes   = 4 << 20
	snapshotEntries = 4000
)

var (
	namespace = errorx.NewNamespace("replica")
	// ErrUnavailable: no leader is reachable, and the request had no effect.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrUnknown: the command may or may not have been committed.
	ErrUnknown = namespace.NewType("unknown")
)

// Settings configures a Replica.
type Settings struct {
	Cluster    string
	Address    string
	DataFolder string
	// Voters is the target number of voters.
	Voters int
	// StandbyLearners limits the learners, as in CoreConfig.
	StandbyLearners int
	// KeepLeader lets the group elect its last leader again after all processes were restarted, if that
	// one restarts with them. Otherwise the election takes nonLeaderDelayTicks longer.
	KeepLeader bool
	// InitialMembers are the first members of the group, if this process is one of them and the folder is
	// empty. Any other replica without data joins the group.
	InitialMembers consensus.Membership
	// Memory is the budget for messages from other replicas, and Commands that for commands which they forward.
	Memory, Commands *intake.Budget
	// CheckCommand fails if a forwarded command is none of the machine's, or if the budget has no room for what it decodes
	// to, which it reserves. If it is nil, each command is proposed.
	CheckCommand func(budget *intake.Budget, command []byte) (*intake.Reservation, error)
	// KnownVersion is the newest version of the machine's commands that this build supports.
	KnownVersion uint64
	// Replica is the identity to use if the folder is empty.
	Replica consensus.ReplicaID
	// Contacts returns addresses of processes that may be members. It is called repeatedly while the
	// replica is not a member.
	Contacts func() []string
	// OtherContacts, if not nil, returns addresses of processes that may have become members since the
	// contacts were determined. A standby replica occasionally asks one of them.
	OtherContacts func() []string
}

// Store persists a replica's state. Data is durable once a call has returned without an error. A failed
// call may be repeated.
type Store interface {
	// Save persists a Ready. It returns a storage.ErrNotReceived error, and changes nothing, if the data of the
	// Ready's snapshot is neither in it nor received.
	Save(ready consensus.Ready) error
	// WriteSnapshot makes a snapshot durable, with the data that the function writes, and
	// returns the data's size. It may be called while Save or DropLog run.
	WriteSnapshot(snapshot consensus.Snapshot, write func(io.Writer) error) (int, error)
	// OpenSnapshot returns the newest snapshot without its data, and a reader and the size of the data.
	// It may be called at any time.
	OpenSnapshot() (consensus.Snapshot, io.ReadCloser, int64, error)
	// ReceiveSnapshot stores a snapshot from another replica, with data of the given size, until Save
	// is called with it. It may be called concurrently with the other methods.
	ReceiveSnapshot(snapshot consensus.Snapshot, data io.Reader, size int64) error
	// HasReceived reports whether the snapshot at the index was received and neither installed nor
	// discarded. It may be called at any time.
	HasReceived(index uint64) bool
	// DiscardReceived removes the received snapshots up to the index, which Save will not be called with.
	DiscardReceived(through uint64) error
	// DropLog deletes the entries up to the index, which a snapshot covers.
	DropLog(through uint64) error
	Close() error
}

// Replica runs a Core in a process.
type Replica struct {
	settings  Settings
	logger    *zerolog.Logger
	store     Store
	context   context.Context
	core      *Core
	loop      *eventloop.Loop
	transport *transport.Transport
	client    *http.Client
	transfers *transfers

	nextID        uint64
	pending       map[uint64]chan Reply
	pauseDetector *clock.PauseDetector
	// mayHaveUnneededSnapshots is set once a snapshot was received, until the unneeded ones are discarded.
	mayHaveUnneededSnapshots bool
	status                   atomic.Pointer[Status]
	// logBytes is the size of the log that no snapshot covers yet.
	logBytes atomic.Int64
	// changed is closed and replaced with each change of the machine.
	changed atomic.Pointer[chan struct{}]
}

// Open opens the data folder, or initialises it if it is empty.
func Open(settings Settings, machine Machine, logger *zerolog.Logger) (*Replica, error) {
	if settings.Replica == consensus.None {
		settings.Replica = NewIdentity()
	}
	store, contents, err := openOrInit(settings)
	if err != nil {
		return nil, err
	}
	// Snapshots that an earlier process received are not installed: their messages are lost.
	if err := store.DiscardReceived(math.MaxUint64); err != nil {
		store.Close()
		return nil, err
	}
	_, state, _, err := store.OpenSnapshot()
	if err != nil {
		store.Close()
		return nil, err
	}
	nonLeaderDelay := 0
	if settings.KeepLeader {
		nonLeaderDelay = nonLeaderDelayTicks
	}
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: contents.Identity.Replica, ElectionTicks: electionTicks, FirstElectionTicks: firstElectionTicks, HeartbeatTicks: heartbeatTicks,
			NonLeaderDelayTicks: nonLeaderDelay, MaxAppendBytes: maxAppendBytes, Seed: rand.Uint64(),
			HardState: contents.HardState, Snapshot: contents.Snapshot, Entries: contents.Entries,
		},
		Address: settings.Address, Voters: settings.Voters, StandbyLearners: settings.StandbyLearners, SilentTicks: silentTicks,
		SnapshotBytes: snapshotBytes, SnapshotEntries: snapshotEntries,
	}, machine, state)
	if err == nil {
		err = state.Close()
	}
	if err != nil {
		store.Close()
		return nil, storage.ErrCorrupt.Wrap(err, "restore the snapshot")
	}
	return newReplica(settings, store, core, logger), nil
}

func newReplica(settings Settings, store Store, core *Core, logger *zerolog.Logger) *Replica {
	if settings.Memory == nil {
		settings.Memory, settings.Commands = intake.Unlimited(), intake.Unlimited()
	}
	r := &Replica{
		settings: settings, logger: logger, store: store, core: core, loop: eventloop.New(), context: context.Background(),
		client: &http.Client{Transport: transport.NewInternalTransport()}, pending: map[uint64]chan Reply{},
	}
	r.status.Store(&Status{ID: core.Raft().ID()})
	changed := make(chan struct{})
	r.changed.Store(&changed)
	r.transport = transport.New(logger, settings.Memory, r.receiveFromPeer)
	r.transfers = newTransfers(store, r.client, logger)
	return r
}

// NewIdentity returns a random identity that differs from those of initial members.
func NewIdentity() consensus.ReplicaID {
	return consensus.ReplicaID(rand.Uint64()>>1 | 1<<62)
}

// openOrInit opens the data folder. It initialises one that holds no replica.
func openOrInit(settings Settings) (*storage.Store, storage.Contents, error) {
	store, contents, err := storage.Open(settings.DataFolder, settings.Cluster)
	if err == nil || !errorx.IsOfType(err, storage.ErrMissing) {
		return store, contents, err
	}
	var initial consensus.Snapshot
	if _, isInitial := settings.InitialMembers.Member(settings.Replica); isInitial {
		// All initial members start from the same synthetic entry, so that they agree on the membership.
		initial = consensus.Snapshot{Index: 1, Term: 1, Membership: settings.InitialMembers}
	}
	if err := storage.Init(settings.DataFolder, settings.Cluster, settings.Replica, initial); err != nil {
		return nil, contents, err
	}
	return storage.Open(settings.DataFolder, settings.Cluster)
}

// Changed returns a channel that is closed at the next change of the machine.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// Handle registers the handlers for requests from other replicas.
func (r *Replica) Handle(router *mux.Router) {
	router.Handle(transport.Path, intake.Streaming(r.transport)).Methods(http.MethodPost)
	router.HandleFunc(ExecutePath, r.serveExecute).Methods(http.MethodPost)
	router.Handle(snapshotPath, intake.Streaming(http.HandlerFunc(r.serveSnapshot))).Methods(http.MethodPost)
}

// Counts returns the transport's counters.
func (r *Replica) Counts() *transport.Counts { return &r.transport.Counts }

// Run runs the replica until the context ends, then transfers leadership. It returns an error if storage
// fails.
func (r *Replica) Run(ctx context.Context) error {
	defer r.store.Close()
	defer r.transport.Close()
	event.ReplicaStarted.On(r.logger).Str("address", r.settings.Address).Uint("replica", uint64(r.core.Raft().ID())).
		Uint("commit", r.core.Raft().Commit()).Send()
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	r.context = ctx
	go r.requestAdmission(ctx)
	go func() {
		<-ctx.Done()
		r.transferLeadership()
		stopLoop()
	}()
	r.pauseDetector = clock.NewPauseDetector()
	return r.loop.Run(loopContext, TickInterval, r.tick, r.flush)
}
