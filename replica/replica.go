package replica

import (
	"context"
	"io"
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
	"github.com/dillchute/dillchute/storage"
	"github.com/dillchute/dillchute/transport"
)

const (
	// TickInterval is the unit of consensus timing.
	TickInterval  = 50 * time.Millisecond
	electionTicks = 8
	// firstElectionTicks leaves processes that start together time to listen.
	firstElectionTicks = 1
	// lastLeaderTicks leaves a leader whose process starts a little later than the
	// others' time to lead again, where the group is to keep its leader.
	lastLeaderTicks = 4
	heartbeatTicks  = 2
	// silentTicks is how long a voter is silent before a learner replaces it.
	silentTicks    = 30
	maxAppendBytes = 1 << 20
	// standstill is how long a tick must be late to be told of: an election, in which others
	// may have taken over.
	standstill = electionTicks * TickInterval
	// joinInterval is the time between requests for admission. A process that
	// has asked for joinPatience in vain stands by, and asks each standbyInterval.
	joinInterval    = 300 * time.Millisecond
	joinPatience    = 10 * time.Second
	standbyInterval = time.Second
	transferWait    = time.Second
	// storageRetry is the time between attempts to write to a disk that refuses.
	storageRetry = 100 * time.Millisecond
	// ExecutePath is where a leader takes in commands of other replicas.
	ExecutePath     = "/internal/execute"
	maxCommandBytes = 64 << 20
	snapshotBytes   = 4 << 20
	snapshotEntries = 4000
)

var (
	namespace = errorx.NewNamespace("replica")
	// ErrUnavailable: there is no leader within reach, and nothing was done.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrUnknown: the command may or may not have been carried out.
	ErrUnknown = namespace.NewType("unknown")
)

// Settings say which replica of which group a process is.
type Settings struct {
	Cluster    string
	Address    string
	DataFolder string
	// Voters is the number of voters that the group aims at.
	Voters int
	// Standby bounds the learners, as in CoreConfig.
	Standby int
	// KeepLeader has the group elect the same leader again after all processes
	// were away, where it comes back with them. An election without it takes
	// lastLeaderTicks longer.
	KeepLeader bool
	// Founders are the first members, if this process is one of them and the
	// folder is empty; otherwise a replica without data joins the group.
	Founders consensus.Membership
	// Knows is the newest version of the machine's commands that this build knows.
	Knows uint64
	// Replica is the identity for an empty folder.
	Replica consensus.ReplicaID
	// Contacts returns addresses of processes that may be members. It is called again and
	// again while the replica is outside of the group.
	Contacts func() []string
	// Others returns addresses of processes that may have become members since the contacts were
	// learnt, or is nil. A replica that stands by asks one of them now and then.
	Others func() []string
}

// Store keeps what a replica must not forget. What a call has returned for
// without an error is durable; one that failed may be repeated.
type Store interface {
	Save(ready consensus.Ready) error
	// WriteSnapshot makes a snapshot durable, whose data the function writes, and
	// returns the data's size. It may be called while Save or DropLog run.
	WriteSnapshot(snapshot consensus.Snapshot, write func(io.Writer) error) (int, error)
	// OpenSnapshot returns the newest snapshot, without its data, and the data and
	// its size. It may be called at any time.
	OpenSnapshot() (consensus.Snapshot, io.ReadCloser, int64, error)
	// ReceiveSnapshot keeps another replica's snapshot, whose data has the size,
	// until a Save names it. It may be called while the others run.
	ReceiveSnapshot(snapshot consensus.Snapshot, data io.Reader, size int64) error
	// DropLog forgets the entries up to the index, which a snapshot covers.
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

	nextID  uint64
	waiting map[uint64]chan Reply
	pulse   *clock.PauseDetector
	status  atomic.Pointer[Status]
	// changed is closed and made anew with each change of the machine.
	changed atomic.Pointer[chan struct{}]
}

// Open opens the data folder, or sets it up if it is empty.
func Open(settings Settings, machine Machine, logger *zerolog.Logger) (*Replica, error) {
	if settings.Replica == consensus.None {
		settings.Replica = NewIdentity()
	}
	store, contents, err := openOrSetUp(settings)
	if err != nil {
		return nil, err
	}
	_, state, _, err := store.OpenSnapshot()
	if err != nil {
		store.Close()
		return nil, err
	}
	lastLeaderWait := 0
	if settings.KeepLeader {
		lastLeaderWait = lastLeaderTicks
	}
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: contents.Identity.Replica, ElectionTicks: electionTicks, FirstElectionTicks: firstElectionTicks, HeartbeatTicks: heartbeatTicks,
			NonLeaderDelayTicks: lastLeaderWait, MaxAppendBytes: maxAppendBytes, Seed: rand.Uint64(),
			HardState: contents.HardState, Snapshot: contents.Snapshot, Entries: contents.Entries,
		},
		Address: settings.Address, Voters: settings.Voters, Standby: settings.Standby, SilentTicks: silentTicks,
		SnapshotBytes: snapshotBytes, SnapshotEntries: snapshotEntries,
	}, machine, state)
	if err == nil {
		err = state.Close()
	}
	if err != nil {
		store.Close()
		return nil, storage.ErrDamaged.Wrap(err, "restore the snapshot")
	}
	return newReplica(settings, store, core, logger), nil
}

func newReplica(settings Settings, store Store, core *Core, logger *zerolog.Logger) *Replica {
	r := &Replica{
		settings: settings, logger: logger, store: store, core: core, loop: eventloop.New(), context: context.Background(),
		client: &http.Client{Transport: transport.NewInternalTransport()}, waiting: map[uint64]chan Reply{},
	}
	r.status.Store(&Status{ID: core.Raft().ID()})
	changed := make(chan struct{})
	r.changed.Store(&changed)
	r.transport = transport.New(logger, r.receivePeer)
	r.transfers = newTransfers(store, r.client, logger)
	return r
}

// NewIdentity returns a random identity that no founder has.
func NewIdentity() consensus.ReplicaID {
	return consensus.ReplicaID(rand.Uint64()>>1 | 1<<62)
}

// openOrSetUp opens the data folder. It sets up one that holds no replica.
func openOrSetUp(settings Settings) (*storage.Store, storage.Contents, error) {
	store, contents, err := storage.Open(settings.DataFolder, settings.Cluster)
	if err == nil || !errorx.IsOfType(err, storage.ErrMissing) {
		return store, contents, err
	}
	var first consensus.Snapshot
	if _, founder := settings.Founders.Member(settings.Replica); founder {
		// All founders start from the same made-up entry, so that the
		// membership is part of what they agree on.
		first = consensus.Snapshot{Index: 1, Term: 1, Membership: settings.Founders}
	}
	if err := storage.Init(settings.DataFolder, settings.Cluster, settings.Replica, first); err != nil {
		return nil, contents, err
	}
	return storage.Open(settings.DataFolder, settings.Cluster)
}

// Changed returns a channel that is closed at the next change of the machine.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// Handle adds what other replicas call to the router.
func (r *Replica) Handle(router *mux.Router) {
	router.Handle(transport.Path, r.transport).Methods(http.MethodPost)
	router.HandleFunc(ExecutePath, r.serveExecute).Methods(http.MethodPost)
	router.HandleFunc(snapshotPath, r.serveSnapshot).Methods(http.MethodPost)
}

// Counts returns the transport's totals.
func (r *Replica) Counts() *transport.Counts { return &r.transport.Counts }

// Run runs the replica until the context ends, then hands leadership over. It
// returns an error if storage fails.
func (r *Replica) Run(ctx context.Context) error {
	defer r.store.Close()
	defer r.transport.Close()
	event.ReplicaStarted.On(r.logger).Str("address", r.settings.Address).Uint("replica", uint64(r.core.Raft().ID())).
		Uint("commit", r.core.Raft().Commit()).Send()
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	r.context = ctx
	go r.askToJoin(ctx)
	go func() {
		<-ctx.Done()
		r.handOver()
		stopLoop()
	}()
	r.pulse = clock.NewPauseDetector()
	return r.loop.Run(loopContext, TickInterval, r.tick, r.flush)
}
