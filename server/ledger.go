package server

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/storage"
)

const (
	// registrationCheckInterval is the time between checks of a store's registration and of the group's
	// state.
	registrationCheckInterval = 200 * time.Millisecond
	// registrationRetryInterval is the time after an accepted registration before it is repeated.
	registrationRetryInterval = 3 * time.Second
)

// Ledger runs a store: a replica of a ledger group and, on its leader, the executor that runs the samples.
type Ledger struct {
	settings config.Ledger
	logger   *zerolog.Logger
	machine  *ledger.Machine
	intake   *intake.Intake
	steps    *stateAdmission
	watcher  *Watcher
	executor *Executor
	// runnerServer runs samples for the leader.
	runnerServer *runner.Server
	metrics      ledgerMetrics
	// identity is the replica ID to use if the data folder is empty. fresh is set if the store has never
	// held data.
	identity consensus.ReplicaID
	fresh    bool

	mutex   sync.Mutex
	replica *replica.Replica
}

// NewLedger returns a store that is not yet running. It uses the clients to reach engines and other
// backends, and serves within the limits.
func NewLedger(settings config.Ledger, seeds *Seeds, engines EngineClient, backends forward.Client, limits *intake.Intake, logger *zerolog.Logger) *Ledger {
	l := &Ledger{
		settings: settings, logger: logger, machine: ledger.NewMachine(), intake: limits, steps: newStateAdmission(settings.MemoryLimit, stepsDivisor),
		watcher:  NewWatcher(seeds, settings.Zone, nameHash(settings.Name), logger),
		identity: replica.NewIdentity(),
	}
	l.watcher.scope = l.scope
	l.watcher.age.limit = settings.CopyLimit
	l.metrics = newLedgerMetrics()
	l.executor = newExecutor(settings, l.watcher, engines, backends, l.metrics, logger)
	l.runnerServer = runner.NewServer(&guardedEngine{engine: engines, guard: l.executor.guard, hasCrashed: l.executor.forwarder.HasCrashed}, logger)
	l.runnerServer.Memory = limits.Replication
	return l
}

// Run serves internal calls on the listener until the context ends.
func (l *Ledger) Run(ctx context.Context, internal net.Listener) error {
	watchContext, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go l.watcher.Run(watchContext)
	r, err := l.open(ctx)
	if err != nil || r == nil {
		return err
	}
	l.mutex.Lock()
	l.replica = r
	l.mutex.Unlock()
	router := mux.NewRouter()
	r.Handle(router)
	router.HandleFunc(ledgerCallPath, l.serveCall).Methods(http.MethodPost)
	router.Handle(runner.Path, intake.Streaming(l.runnerServer)).Methods(http.MethodPost)
	httpServer := l.intake.NewServer(router, intake.ServerOptions{Weight: mainWeight})
	serveHTTP(httpServer, internal, l.logger)
	go l.maintain(watchContext, r)
	go reportCrashes(watchContext, l.executor.guard, l.watcher)
	go l.executor.run(watchContext, r, l.machine)
	err = r.Run(ctx)
	l.shutdown(httpServer)
	return err
}

// shutdown closes the servers, then reports the known crashes. The report comes last because runs that end
// with their links may have recorded further crashes.
func (l *Ledger) shutdown(httpServer *intake.Server) {
	httpServer.Close()
	l.runnerServer.Close()
	sendCrashReport(context.Background(), l.executor.guard, l.watcher)
}

// Status returns the replica's status, or nil if the replica is not open yet.
func (l *Ledger) Status() *replica.Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.replica == nil {
		return nil
	}
	return l.replica.Status()
}

// open opens the data folder. A store without data first registers and waits until the directory knows the
// group that it forms or joins.
func (l *Ledger) open(ctx context.Context) (*replica.Replica, error) {
	hasData := storage.HasReplica(l.settings.DataFolder)
	if !hasData {
		if err := l.initIdentity(); err != nil {
			return nil, err
		}
	}
	settings := replica.Settings{
		Cluster: l.cluster(), Address: l.settings.InternalAddress, DataFolder: l.settings.DataFolder,
		Voters: config.Voters(l.settings.ToleratedLosses), StandbyLearners: max(l.settings.ToleratedLosses, 1),
		Replica: l.identity, Contacts: l.contacts, OtherContacts: l.otherContacts,
		// A new leader may send orders to engines only after the lease of the previous one has ended.
		KeepLeader: true,
		Memory:     l.intake.Replication, Commands: l.intake.Memory, CheckCommand: ledger.CheckCommand,
	}
	if !hasData {
		group, ok := l.awaitGroup(ctx)
		if !ok {
			return nil, nil
		}
		if group.Number == 0 {
			settings.InitialMembers = consensus.Membership{Members: group.Members}
		}
	}
	return replica.Open(settings, l.machine, l.logger)
}

// cluster returns the cluster name stored in the group's data folders.
func (l *Ledger) cluster() string { return l.settings.Cluster + "-ledger" }

// initIdentity sets the identity of a store without data. At the first start of a cluster, the identity is
// stored, so that the store may still form the group if it restarts before the group exists.
func (l *Ledger) initIdentity() error {
	reserved, err := storage.ReservedIdentity(l.settings.DataFolder, l.cluster())
	if err != nil {
		return err
	}
	if reserved != consensus.None {
		l.identity, l.fresh = reserved, true
		return nil
	}
	if !l.settings.FirstStart {
		return nil
	}
	l.fresh = true
	return storage.ReserveIdentity(l.settings.DataFolder, l.cluster(), l.identity)
}

// awaitGroup registers the store until the directory knows a group.
func (l *Ledger) awaitGroup(ctx context.Context) (directory.Group, bool) {
	registeredAt := time.Time{}
	for {
		changed := l.watcher.Changed()
		if group := l.watcher.Catalog().Group; len(group.Members) > 0 {
			return group, true
		}
		if time.Since(registeredAt) > registrationRetryInterval && l.register(ctx, l.identity) {
			registeredAt = time.Now()
		}
		select {
		case <-ctx.Done():
			return directory.Group{}, false
		case <-changed:
		case <-time.After(registrationCheckInterval):
		}
	}
}

func (l *Ledger) register(ctx context.Context, identity consensus.ReplicaID) bool {
	_, err := l.watcher.call(ctx, directoryCall{Store: &directory.Store{
		Name: l.settings.Name, Address: l.settings.InternalAddress, Zone: l.settings.Zone,
		Replica: identity, Fresh: l.fresh,
	}})
	return err == nil
}

// scope returns the backends that this store must know: all if it is a member of the group and may become
// leader, otherwise none, since the leader sends the backend with each run.
func (l *Ledger) scope() directory.Scope {
	members := l.watcher.Catalog().Group.Members
	if status := l.Status(); status != nil {
		members = append(slices.Clone(members), status.Members...)
	}
	for _, member := range members {
		if member.Address == l.settings.InternalAddress {
			return directory.ScopeAll
		}
	}
	return directory.ScopeNone
}

// contacts returns the addresses of the group's members in the directory. The replica adds the members that
// it last knew.
func (l *Ledger) contacts() []string {
	var addresses []string
	for _, member := range l.watcher.Catalog().Group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// otherContacts returns the addresses of all stores outside the group that are not retired. They may have
// replaced all its members while the directory was unreachable.
func (l *Ledger) otherContacts() []string { return storesOutsideGroup(l.watcher.Catalog()) }

func storesOutsideGroup(catalog *directory.Catalog) []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(catalog.Stores)) {
		store := catalog.Stores[name]
		isMember := slices.ContainsFunc(catalog.Group.Members, func(member consensus.Member) bool { return member.Address == store.Address })
		if !store.Retired && !isMember {
			addresses = append(addresses, store.Address)
		}
	}
	return addresses
}

// maintain keeps the store registered and, on the leader, reports the group's members to the directory.
func (l *Ledger) maintain(ctx context.Context, r *replica.Replica) {
	every(ctx, registrationCheckInterval, func() {
		catalog, status := l.watcher.Catalog(), r.Status()
		registered, ok := catalog.Stores[l.settings.Name]
		if catalog.Revision > 0 && (!ok || registered.Replica != status.ID || registered.Address != l.settings.InternalAddress) {
			l.register(ctx, status.ID)
		}
		r.Do(func() { l.executor.orders.Observe(nowMillis(), l.machine.Orders()) })
		if status.Serving {
			l.maintainGroup(ctx, r, catalog, status)
		}
	})
}

func (l *Ledger) maintainGroup(ctx context.Context, r *replica.Replica, catalog *directory.Catalog, status *replica.Status) {
	retiring := map[consensus.ReplicaID]bool{}
	retiringLeft := false
	for _, store := range catalog.Stores {
		if !store.Retiring {
			continue
		}
		retiring[store.Replica] = true
		_, isMember := consensus.Membership{Members: status.Members}.Member(store.Replica)
		retiringLeft = retiringLeft || !store.Retired && !isMember
	}
	r.SetRetiring(retiring)
	if !shouldReportGroup(status, catalog.Group.Members, retiringLeft) {
		return
	}
	l.watcher.call(ctx, directoryCall{Report: &directory.Group{Members: status.Members, Number: status.Commit}})
}

// shouldReportGroup reports whether the group's members must be sent to the directory, which knows those in
// reported. A retiring store that is no longer a member counts as empty once this is reported, and other
// stores may fail from then on, so its removal is reported only once the group has all its voters.
func shouldReportGroup(status *replica.Status, reported []consensus.Member, retiringLeft bool) bool {
	if !status.MembersCommitted || retiringLeft && status.MissingVoters > 0 {
		return false
	}
	return retiringLeft || !sameMembers(reported, status.Members)
}

func sameMembers(a, b []consensus.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for index := range a {
		if a[index] != b[index] {
			return false
		}
	}
	return true
}
