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
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/usage"
)

const (
	directoryCallPath  = "/internal/directory/call"
	directoryWatchPath = "/internal/directory/watch"
	// plainWatchTimeout limits the duration of a watch without keepalives.
	plainWatchTimeout = 2 * time.Second
	// reviewInterval is the time between two reviews by the leader.
	reviewInterval = 250 * time.Millisecond
	// silentHeartbeats is the number of missed heartbeats after which a backend counts as silent, and
	// removalHeartbeats the number after which it is removed.
	silentHeartbeats  = 4
	removalHeartbeats = 20
	// permanentRemovalHeartbeats replaces removalHeartbeats while a removed backend cannot return.
	permanentRemovalHeartbeats = 10 * removalHeartbeats
	// formationQuietTime is how long no new store may have registered before the first group is formed,
	// and maxFormationWait how long formation waits for the wanted number of stores.
	formationQuietTime = 400 * time.Millisecond
	maxFormationWait   = 3 * time.Second
	maxInternalBytes   = 128 << 20
)

// Heartbeat is a backend's report of its state.
type Heartbeat struct {
	Backend directory.Backend `cbor:"1,keyasint"`
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Unread is set if some models could not be read. Registered models that are not listed here stay
	// registered.
	Unread bool `cbor:"3,keyasint,omitempty"`
}

// mergeRegisteredModels adds the registered models that a heartbeat with Unread does not list.
func (h *Heartbeat) mergeRegisteredModels(registered directory.Backend) {
	if !h.Unread || registered.ID != h.Backend.ID {
		return
	}
	models := slices.Clone(registered.Models)
	for _, reported := range h.Backend.Models {
		position := slices.IndexFunc(models, func(model directory.ModelVersion) bool { return model.Model == reported.Model })
		if position < 0 {
			models = append(models, reported)
			continue
		}
		models[position] = reported
	}
	h.Backend.Models = models
}

// ErrNotFound is the type of errors about objects that do not exist.
var ErrNotFound = errorx.NewNamespace("server").NewType("not_found")

// Directory runs one replica of the directory.
type Directory struct {
	settings      config.Directory
	logger        *zerolog.Logger
	machine       *directory.Machine
	replica       *replica.Replica
	client        *http.Client
	intake        *intake.Intake
	confirmations *readConfirmations
	metrics       directoryMetrics
	// view is a copy of the machine's state that may lag behind it.
	view       atomic.Pointer[directory.Catalog]
	heartbeats *heartbeats
	// registrations sends heartbeats that change a registration to the leader, in batches.
	registrations *batcher[Heartbeat]
	admission     *registrationAdmission
	feed          *feed
	usage         *usageAggregator
	duties        *dutyCoordinator
	versions      *versionCoordinator
	// returns tracks backends that were removed as silent, and outdated those whose sequence numbers are lower
	// than before.
	returns, outdated *livenessTracker
	scale             *scaleController
	stalls            stallDetector
	// invalidReports and ignoredReports limit the log lines about heartbeats without effect.
	invalidReports, ignoredReports heartbeatLog
	// suspects is used only by review.
	suspects suspectTracker
	// clockSentAt is when this machine's clock was last sent to the leader. It is used only by review.
	clockSentAt time.Time
	// reportedAt is the start time, in milliseconds, of the newest call that reported backends to the leader.
	reportedAt atomic.Int64

	mutex   sync.Mutex
	serving bool
	// newestStoreAt and firstStoreAt are when the newest and the first store registered during this
	// leadership.
	newestStoreAt, firstStoreAt time.Time
}

// NewDirectory opens the replica's data folder or creates it. The client sends duty calls; it may be nil.
func NewDirectory(settings config.Directory, seeds *Seeds, client DutyClient, logger *zerolog.Logger) (*Directory, error) {
	limits := NewIntake(settings.Process)
	machine := directory.NewMachine()
	members, identity := initialDirectoryMembers(settings)
	r, err := replica.Open(replica.Settings{
		Cluster: settings.Cluster + "-directory", Address: settings.InternalAddress, DataFolder: settings.DataFolder,
		Voters: config.Voters(settings.ToleratedLosses), InitialMembers: members, Replica: identity,
		Contacts: seeds.Current, KnownVersion: directory.KnownVersion,
		Memory: limits.Replication, Commands: limits.Memory, CheckCommand: directory.CheckCommand,
	}, machine, logger)
	if err != nil {
		return nil, err
	}
	d := &Directory{
		settings: settings, logger: logger, machine: machine, replica: r,
		client: replica.NewInternalClient(), intake: limits, confirmations: newReadConfirmations(), metrics: newDirectoryMetrics(), heartbeats: newHeartbeats(), feed: newFeed(),
	}
	d.duties = &dutyCoordinator{settings: settings, replica: r, machine: machine, actions: duty.NewTracker(), sleep: time.Sleep}
	d.usage = &usageAggregator{
		settings: settings, replica: r, machine: machine, client: client, clock: usage.NewClock(settings.ToleratedLosses + 1), duties: d.duties,
		metrics: d.metrics, logger: logger,
	}
	d.versions = newVersionCoordinator(settings.InternalAddress, r, machine, logger)
	d.returns, d.outdated = newLivenessTracker(), newLivenessTracker()
	d.scale = &scaleController{settings: settings, duties: d.duties, client: client, metrics: d.metrics, logger: logger}
	d.scale.reset()
	d.admission = newRegistrationAdmission(settings.MemoryLimit)
	d.registrations = &batcher[Heartbeat]{process: d.registerAll}
	d.view.Store(directory.NewCatalog())
	return d, nil
}

// initialDirectoryMembers returns the initial members of the group and this process's ID among them. Both are
// empty unless this is the first start of the system.
func initialDirectoryMembers(settings config.Directory) (consensus.Membership, consensus.ReplicaID) {
	if !settings.FirstStart {
		return consensus.Membership{}, consensus.None
	}
	var members consensus.Membership
	identity := consensus.None
	peers := append([]string(nil), settings.PeerAddresses()...)
	sort.Strings(peers)
	for position, address := range peers {
		id := consensus.ReplicaID(position + 1)
		members.Members = append(members.Members, consensus.Member{ID: id, Address: address, Voter: true})
		if address == settings.InternalAddress {
			identity = id
		}
	}
	return members, identity
}

// Run serves other processes on the listener until the context ends.
func (d *Directory) Run(ctx context.Context, internal net.Listener) error {
	router := mux.NewRouter()
	d.replica.Handle(router)
	router.HandleFunc(directoryCallPath, d.serveCall).Methods(http.MethodPost)
	router.HandleFunc(directoryWatchPath, d.serveWatch).Methods(http.MethodGet)
	httpServer := d.intake.NewServer(router, intake.ServerOptions{Weight: mainWeight})
	serveHTTP(httpServer, internal, d.logger)
	defer httpServer.Close()
	go d.review(ctx)
	go d.feedWatchers(ctx)
	go d.confirmReads(ctx)
	return d.replica.Run(ctx)
}

// Intake returns the budgets for operators, backends and other processes.
func (d *Directory) Intake() *intake.Intake { return d.intake }

// Status returns the replica's status.
func (d *Directory) Status() *replica.Status { return d.replica.Status() }

// Leave removes a backend that shuts down. Without a start time it removes whichever incarnation is
// registered under the name.
func (d *Directory) Leave(ctx context.Context, leaving directory.Incarnation) error {
	_, err := d.call(ctx, directoryCall{Leave: leaving.Name, LeaveBorn: leaving.StartTime})
	if err == nil {
		d.logDeparture(leaving.ID(), departureLeft)
	}
	return err
}

// PutConfiguration stores a valid configuration, unless the directory has the same or a higher version.
func (d *Directory) PutConfiguration(ctx context.Context, put directory.PutConfiguration) error {
	_, err := d.call(ctx, directoryCall{Put: &put})
	return err
}

// Configuration returns the newest configuration's document, or an ErrNotFound
// error if there is none yet.
func (d *Directory) Configuration(ctx context.Context) ([]byte, error) {
	answer, err := d.call(ctx, directoryCall{Read: true})
	if err == nil && answer.Version == 0 {
		return nil, ErrNotFound.New("no configuration is stored")
	}
	return answer.Source, err
}

// NameVersion publishes a version of a model's weights.
func (d *Directory) NameVersion(ctx context.Context, version directory.ModelVersion) error {
	admitted, err := d.admission.admitModel(d.view.Load(), version.Model)
	if err != nil {
		d.intake.CountRefused()
		return err
	}
	defer admitted()
	_, err = d.call(ctx, directoryCall{Name: &version})
	return err
}

// Retire asks for a store to be emptied.
func (d *Directory) Retire(ctx context.Context, name string) (directory.RetireOutcome, error) {
	answer, err := d.call(ctx, directoryCall{Retire: &directory.Retire{Name: name, Replicas: config.Voters(d.settings.ToleratedLosses)}})
	return answer.Retire, err
}

// Retired reports whether a retiring store is empty. It returns an ErrNotFound error if the store is not
// retiring.
func (d *Directory) Retired(ctx context.Context, name string) (bool, error) {
	answer, err := d.call(ctx, directoryCall{Retired: name})
	if err == nil && !answer.Found {
		return false, ErrNotFound.New("store %q is not retiring", name)
	}
	return answer.Retired, err
}
