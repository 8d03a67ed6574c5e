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
	"github.com/dillchute/dillchute/protocol"
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
	// Replica is the identity for an empty folder.
	Replica consensus.ReplicaID
	// Contacts returns addresses of processes that may be members. It is called again and
	// again while the replica is outside of the group.
	Contacts func() []string
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
	pulse   *clock.Pulse
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
			LastLeaderTicks: lastLeaderWait, MaxAppendBytes: maxAppendBytes, Seed: rand.Uint64(),
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
	r.pulse = clock.NewPulse()
	return r.loop.Run(loopContext, TickInterval, r.tick, r.flush)
}

// receivePeer takes in what comes by the transport. A snapshot comes by a
// transfer, which brings its data.
func (r *Replica) receivePeer(message protocol.Message) {
	if message.Consensus == nil || message.Consensus.Snapshot == nil {
		r.receive(message)
	}
}

func (r *Replica) receive(message protocol.Message) {
	r.loop.Call(func() { r.core.Receive(message) })
}

// tick makes up for ticks that were missed: a leader that stood still must
// notice that its time has passed before it acts again.
func (r *Replica) tick() {
	elapsed, suspended := r.pulse.Beat()
	missed := int(elapsed / TickInterval)
	for range min(max(missed, 1), 2*electionTicks) {
		r.core.Tick()
	}
	if elapsed > standstill {
		event.ProcessStoodStill.On(r.logger).Int("ms", elapsed.Milliseconds()).Int("suspended_ms", suspended.Milliseconds()).Send()
	}
}

// flush persists, applies and sends what the calls of a batch have produced.
// One sync serves all entries of the batch.
func (r *Replica) flush() error {
	advanced := false
	for r.core.HasReady() {
		ready := r.core.Ready()
		if err := r.persist(func() error { return r.store.Save(ready) }); err != nil {
			return err
		}
		if err := r.advance(ready); err != nil {
			event.ApplyFailed.On(r.logger).Err(err).Send()
			return err
		}
		advanced = advanced || len(ready.Committed) > 0 || ready.Snapshot != nil
		if job := r.core.TakeSnapshotJob(); job != nil {
			go r.makeSnapshot(job)
		}
	}
	r.updateStatus()
	for _, outgoing := range r.core.TakeMessages() {
		if outgoing.Message.Consensus != nil && outgoing.Message.Consensus.Snapshot != nil {
			r.transfers.send(outgoing)
			continue
		}
		r.transport.Send(outgoing.Address, outgoing.Message)
	}
	for _, reply := range r.core.TakeReplies() {
		if waiting, ok := r.waiting[reply.ID]; ok {
			delete(r.waiting, reply.ID)
			waiting <- reply
		}
	}
	if advanced {
		r.signal()
	}
	return nil
}

// advance carries on after the Ready has been persisted.
func (r *Replica) advance(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return r.core.Advance(ready, nil)
	}
	_, state, _, err := r.store.OpenSnapshot()
	if err != nil {
		return err
	}
	defer state.Close()
	return r.core.Advance(ready, state)
}

// makeSnapshot writes a snapshot beside the loop.
func (r *Replica) makeSnapshot(job *SnapshotJob) {
	size := 0
	err := r.persist(func() (err error) {
		size, err = r.store.WriteSnapshot(job.Snapshot, job.Write)
		return err
	})
	if err != nil {
		return
	}
	event.SnapshotSaved.On(r.logger).Uint("index", job.Snapshot.Index).Uint("bytes", uint64(size)).Send()
	r.loop.Call(func() {
		if through := r.core.FinishSnapshot(job, size); through > 0 {
			r.persist(func() error { return r.store.DropLog(through) })
		}
	})
}

// persist repeats the call while storage refuses it: a disk that is full or
// faulty for a while is no reason to stop, and until it takes writes again this
// replica says nothing, so that another one leads.
func (r *Replica) persist(call func() error) error {
	err := call()
	if err == nil {
		return nil
	}
	event.StorageRefused.On(r.logger).Err(err).Send()
	for err != nil {
		select {
		case <-r.context.Done():
			event.StorageFailed.On(r.logger).Err(err).Send()
			return err
		case <-time.After(storageRetry):
		}
		err = call()
	}
	event.StorageAccepts.On(r.logger).Send()
	return nil
}

func (r *Replica) signal() {
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}

// Do runs the function in the replica's loop, where the machine may be read.
// It returns false if the replica has stopped.
func (r *Replica) Do(function func()) bool {
	_, ok := eventloop.Ask(r.loop, func() struct{} {
		function()
		return struct{}{}
	})
	return ok
}

// SetRetiring names the replicas that are to leave the group.
func (r *Replica) SetRetiring(retiring map[consensus.ReplicaID]bool) {
	r.loop.Call(func() { r.core.SetRetiring(retiring) })
}

// ask starts a request under an ID in the loop and waits for its reply. Nothing is
// started for a context that has ended: its owner may have lost the leadership that
// it acts under, while this replica leads again.
func (r *Replica) ask(ctx context.Context, start func(id uint64)) Reply {
	if ctx.Err() != nil {
		return Reply{Outcome: NotLeader}
	}
	answered := make(chan Reply, 1)
	var id uint64
	queued := r.loop.Call(func() {
		r.nextID++
		id = r.nextID
		r.waiting[id] = answered
		start(id)
	})
	if !queued {
		return Reply{Outcome: NotLeader}
	}
	select {
	case reply := <-answered:
		return reply
	case <-r.loop.Done():
	case <-ctx.Done():
		r.loop.Call(func() { delete(r.waiting, id) })
	}
	return Reply{Outcome: Unknown}
}

// Confirm waits until the machine reflects every command that was acknowledged
// before the call. It fails on a replica that does not lead.
func (r *Replica) Confirm(ctx context.Context) error {
	switch r.ask(ctx, func(id uint64) { r.core.Read(id) }).Outcome {
	case Done:
		return nil
	default:
		return ErrUnavailable.New("this replica cannot confirm a read")
	}
}

// Execute has the command carried out, by the leader wherever that is, and
// returns its encoded result.
func (r *Replica) Execute(ctx context.Context, command []byte) ([]byte, error) {
	reply := r.ask(ctx, func(id uint64) { r.core.Propose(id, command) })
	switch reply.Outcome {
	case Done:
		return reply.Result, nil
	case Unknown:
		return nil, ErrUnknown.New("leadership was lost before the command was committed")
	}
	leader := r.Status().Leader
	if leader == "" || leader == r.settings.Address {
		return nil, ErrUnavailable.New("no leader is known")
	}
	return r.executeAt(ctx, leader, command)
}

func (r *Replica) executeAt(ctx context.Context, leader string, command []byte) ([]byte, error) {
	response, err := PostInternal(ctx, r.client, "http://"+leader+ExecutePath, command)
	if err != nil {
		return nil, ErrUnknown.Wrap(err, "forward a command to %s", leader)
	}
	return response, nil
}

func (r *Replica) serveExecute(response http.ResponseWriter, request *http.Request) {
	command, err := io.ReadAll(io.LimitReader(request.Body, maxCommandBytes))
	if err != nil {
		return
	}
	reply := r.ask(request.Context(), func(id uint64) { r.core.Propose(id, command) })
	if reply.Outcome != Done {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	response.Header().Set("Content-Type", "application/cbor")
	response.Write(reply.Result)
}
