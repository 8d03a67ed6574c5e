package server

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/usage"
)

const (
	directoryCallPath  = "/internal/directory/call"
	directoryWatchPath = "/internal/directory/watch"
	// watchWait is how long a watch without lines is held while nothing changes.
	watchWait = 2 * time.Second
	// reviewInterval is the time between the leader's reviews of what is silent.
	reviewInterval = 250 * time.Millisecond
	// silentBeats and goneBeats are the numbers of missed heartbeats after which
	// a backend counts as silent, and is taken out.
	silentBeats = 4
	goneBeats   = 20
	// finalBeats take the place of goneBeats while one that is taken out could not return.
	finalBeats = 10 * goneBeats
	// formationPause is how long no new store may have registered before the
	// first group is formed, and formationWait how long at most is waited for
	// as many as are wanted.
	formationPause   = 400 * time.Millisecond
	formationWait    = 3 * time.Second
	maxInternalBytes = 128 << 20
)

// Heartbeat is what a backend says about itself.
type Heartbeat struct {
	Backend directory.Backend `cbor:"1,keyasint"`
	// Sequence rises with every heartbeat of an incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Unread says that something about models was not understood: what is registered of those
	// that it does not name holds.
	Unread bool `cbor:"3,keyasint,omitempty"`
}

// keepUnread takes over, from what is registered, the models that the heartbeat names in a way
// that was not understood.
func (h *Heartbeat) keepUnread(known directory.Backend) {
	if !h.Unread || known.ID != h.Backend.ID {
		return
	}
	models := slices.Clone(known.Models)
	for _, said := range h.Backend.Models {
		place := slices.IndexFunc(models, func(held directory.ModelVersion) bool { return held.Model == said.Model })
		if place < 0 {
			models = append(models, said)
			continue
		}
		models[place] = said
	}
	h.Backend.Models = models
}

// ErrNotFound: what a call names does not exist.
var ErrNotFound = errorx.NewNamespace("server").NewType("not_found")

// Directory runs one replica of the directory.
type Directory struct {
	settings config.Directory
	logger   *zerolog.Logger
	machine  *directory.Machine
	replica  *replica.Replica
	client   *http.Client
	evidence *evidence
	metrics  directoryMetrics
	// view is the machine's state, a little late.
	view       atomic.Pointer[directory.Catalog]
	heartbeats *heartbeats
	// registrations are heartbeats that change something, on their way to the leader.
	registrations *gather[Heartbeat]
	feed          *feed
	usage         *usageKeeper
	duties        *dutyKeeper
	versions      *versionKeeper
	returning     *returnTracker
	scale         *scaleKeeper
	standstill    stallDetector
	spoiled       invalidHeartbeatLog
	// suspects belongs to the review.
	suspects suspectTracker
	// clockTold is when the leader was last told of this machine's clock. It belongs to
	// the review.
	clockTold time.Time
	// toldAt is when the newest call began in which the leader was told whom this replica has
	// heard, in milliseconds.
	toldAt atomic.Int64

	mutex   sync.Mutex
	serving bool
	// newestStore is when a store last registered for the first time.
	newestStore, firstStore time.Time
}

// NewDirectory opens the replica's data folder or sets it up. The client, which may be nil,
// carries out the calls that one process at a time makes.
func NewDirectory(settings config.Directory, seeds *Seeds, client DutyClient, logger *zerolog.Logger) (*Directory, error) {
	machine := directory.NewMachine()
	founders, identity := directoryFounders(settings)
	opened, err := replica.Open(replica.Settings{
		Cluster: settings.Cluster + "-directory", Address: settings.InternalAddress, DataFolder: settings.DataFolder,
		Voters: config.Voters(settings.ToleratedLosses), InitialMembers: founders, Replica: identity,
		Contacts: seeds.Current, KnownVersion: directory.KnownVersion,
	}, machine, logger)
	if err != nil {
		return nil, err
	}
	d := &Directory{
		settings: settings, logger: logger, machine: machine, replica: opened,
		client: replica.NewInternalClient(), evidence: newEvidence(), metrics: newDirectoryMetrics(), heartbeats: newHeartbeats(), feed: newFeed(),
	}
	d.duties = &dutyKeeper{settings: settings, replica: opened, machine: machine, acts: duty.NewTracker(), wait: time.Sleep}
	d.usage = &usageKeeper{
		settings: settings, replica: opened, machine: machine, client: client, clock: usage.NewClock(settings.ToleratedLosses + 1), duties: d.duties,
		metrics: d.metrics, logger: logger,
	}
	d.versions = newVersionKeeper(settings.InternalAddress, opened, machine, logger)
	d.returning = newReturnTracker()
	d.scale = &scaleKeeper{settings: settings, duties: d.duties, client: client, metrics: d.metrics, logger: logger}
	d.scale.begin()
	d.registrations = &gather[Heartbeat]{carry: d.registerAll}
	d.view.Store(directory.NewCatalog())
	return d, nil
}

// directoryFounders returns the first members and this process's identity among
// them. Only at the first start of the whole system is there such a group.
func directoryFounders(settings config.Directory) (consensus.Membership, consensus.ReplicaID) {
	if !settings.FirstStart {
		return consensus.Membership{}, consensus.None
	}
	var founders consensus.Membership
	identity := consensus.None
	peers := append([]string(nil), settings.PeerAddresses()...)
	sort.Strings(peers)
	for position, address := range peers {
		id := consensus.ReplicaID(position + 1)
		founders.Members = append(founders.Members, consensus.Member{ID: id, Address: address, Voter: true})
		if address == settings.InternalAddress {
			identity = id
		}
	}
	return founders, identity
}

// Run serves other processes on the listener until the context ends.
func (d *Directory) Run(ctx context.Context, internal net.Listener) error {
	router := mux.NewRouter()
	d.replica.Handle(router)
	router.HandleFunc(directoryCallPath, d.serveCall).Methods(http.MethodPost)
	router.HandleFunc(directoryWatchPath, d.serveWatch).Methods(http.MethodGet)
	httpServer := newHTTPServer(router)
	serveHTTP(httpServer, internal, d.logger)
	defer httpServer.Close()
	go d.review(ctx)
	go d.feedWatchers(ctx)
	go d.keepEvidence(ctx)
	return d.replica.Run(ctx)
}

// Status returns the replica's status.
func (d *Directory) Status() *replica.Status { return d.replica.Status() }

// Leave takes out a backend that ends. Without a birth it is whichever incarnation is registered
// under the name.
func (d *Directory) Leave(ctx context.Context, leaving directory.Incarnation) error {
	_, err := d.call(ctx, directoryCall{Leave: leaving.Name, LeaveBorn: leaving.StartTime})
	return err
}

// PutConfiguration puts a valid configuration into force, unless a version as
// high is held already.
func (d *Directory) PutConfiguration(ctx context.Context, put directory.PutConfiguration) error {
	_, err := d.call(ctx, directoryCall{Put: &put})
	return err
}

// Configuration returns the newest configuration's document, or an ErrNotFound
// error if there is none yet.
func (d *Directory) Configuration(ctx context.Context) ([]byte, error) {
	answer, err := d.call(ctx, directoryCall{Read: true})
	if err == nil && answer.Version == 0 {
		return nil, ErrNotFound.New("there is no configuration")
	}
	return answer.Source, err
}

// NameVersion makes a version of a model's weights known.
func (d *Directory) NameVersion(ctx context.Context, version directory.ModelVersion) error {
	_, err := d.call(ctx, directoryCall{Name: &version})
	return err
}

// Retire asks for a store to be emptied.
func (d *Directory) Retire(ctx context.Context, name string) (directory.RetireOutcome, error) {
	answer, err := d.call(ctx, directoryCall{Retire: &directory.Retire{Name: name, Replicas: config.Voters(d.settings.ToleratedLosses)}})
	return answer.Retire, err
}

// Retired tells whether a store that was to be emptied is empty. It returns an
// ErrNotFound error if nobody asked for that.
func (d *Directory) Retired(ctx context.Context, name string) (bool, error) {
	answer, err := d.call(ctx, directoryCall{Retired: name})
	if err == nil && !answer.Found {
		return false, ErrNotFound.New("store %q is not to be emptied", name)
	}
	return answer.Retired, err
}
