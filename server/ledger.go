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
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/storage"
)

const (
	// registerInterval is the time between a store's reviews of its
	// registration, and of what it has to do for the group.
	registerInterval = 200 * time.Millisecond
	// registerRefresh is how long a registration that was taken is not repeated.
	registerRefresh = 3 * time.Second
)

// Ledger runs a store: a replica of a group of the ledger and, on its leader,
// the executor that runs the samples.
type Ledger struct {
	settings config.Ledger
	logger   *zerolog.Logger
	machine  *ledger.Machine
	watcher  *Watcher
	executor *Executor
	// runs holds streams for the leader.
	runs    *runner.Server
	metrics ledgerMetrics
	// identity is that of a store without data, and fresh tells that it has never
	// had any.
	identity consensus.ReplicaID
	fresh    bool

	mutex   sync.Mutex
	replica *replica.Replica
}

// NewLedger prepares a store. The clients reach engines and other backends.
func NewLedger(settings config.Ledger, seeds *Seeds, engines EngineClient, backends forward.Client, logger *zerolog.Logger) *Ledger {
	l := &Ledger{
		settings: settings, logger: logger, machine: ledger.NewMachine(),
		watcher:  NewWatcher(seeds, settings.Zone, spread(settings.Name), logger),
		identity: replica.NewIdentity(),
	}
	l.watcher.scope = l.scope
	l.watcher.age.limit = settings.CopyLimit
	l.metrics = newLedgerMetrics()
	l.executor = newExecutor(settings, l.watcher, engines, backends, l.metrics, logger)
	l.runs = runner.NewServer(&guardedEngine{engine: engines, guard: l.executor.guard, hasCrashed: l.executor.forwarder.HasCrashed}, logger)
	return l
}

// Run serves other processes on the listener until the context ends.
func (l *Ledger) Run(ctx context.Context, internal net.Listener) error {
	watchContext, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go l.watcher.Run(watchContext)
	opened, err := l.open(ctx)
	if err != nil || opened == nil {
		return err
	}
	l.mutex.Lock()
	l.replica = opened
	l.mutex.Unlock()
	router := mux.NewRouter()
	opened.Handle(router)
	router.HandleFunc(ledgerCallPath, l.serveCall).Methods(http.MethodPost)
	router.Handle(runner.Path, l.runs).Methods(http.MethodPost)
	httpServer := newHTTPServer(router)
	serveHTTP(httpServer, internal, l.logger)
	go l.maintain(watchContext, opened)
	go reportCrashes(watchContext, l.executor.guard, l.watcher)
	go l.executor.run(watchContext, opened, l.machine)
	err = opened.Run(ctx)
	l.finish(httpServer)
	return err
}

// finish ends what the store does for others, and tells what it has learnt of crashes. Telling
// comes last: what is taken meanwhile would end with the process, and what ends with the links may
// be news.
func (l *Ledger) finish(httpServer *http.Server) {
	httpServer.Close()
	l.runs.Close()
	sendCrashReport(context.Background(), l.executor.guard, l.watcher)
}

// Status returns the replica's status, or nil before it has one.
func (l *Ledger) Status() *replica.Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.replica == nil {
		return nil
	}
	return l.replica.Status()
}

// open opens the data folder. A store without data registers first, and waits
// until the directory knows the group that it founds or joins.
func (l *Ledger) open(ctx context.Context) (*replica.Replica, error) {
	held := storage.HasReplica(l.settings.DataFolder)
	if !held {
		if err := l.identify(); err != nil {
			return nil, err
		}
	}
	settings := replica.Settings{
		Cluster: l.cluster(), Address: l.settings.InternalAddress, DataFolder: l.settings.DataFolder,
		Voters: config.Voters(l.settings.ToleratedLosses), StandbyLearners: max(l.settings.ToleratedLosses, 1),
		Replica: l.identity, Contacts: l.contacts, OtherContacts: l.others,
		// Engines that another leader has given orders to are left alone for a while.
		KeepLeader: true,
	}
	if !held {
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

// cluster is the name that the group's data folders carry.
func (l *Ledger) cluster() string { return l.settings.Cluster + "-ledger" }

// identify finds the identity of a store without data. At the first start of the
// whole system it may found the group; that is made durable, so that it still may
// after a restart that comes before the group is formed.
func (l *Ledger) identify() error {
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

// awaitGroup registers until the directory knows a group.
func (l *Ledger) awaitGroup(ctx context.Context) (directory.Group, bool) {
	registeredAt := time.Time{}
	for {
		changed := l.watcher.Changed()
		if group := l.watcher.Catalog().Group; len(group.Members) > 0 {
			return group, true
		}
		if time.Since(registeredAt) > registerRefresh && l.register(ctx, l.identity) {
			registeredAt = time.Now()
		}
		select {
		case <-ctx.Done():
			return directory.Group{}, false
		case <-changed:
		case <-time.After(registerInterval):
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

// scope returns the backends that this store must know: all of them if it may come to lead the
// group, and otherwise none, since a leader tells a runner where each run goes.
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

// contacts returns the addresses of the group's members as the directory knows them. The replica
// adds those that it knew last itself.
func (l *Ledger) contacts() []string {
	var addresses []string
	for _, member := range l.watcher.Catalog().Group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// others returns the addresses of all other stores that are not retired. The directory may be out
// of reach while all members are replaced, one by one, by stores that have registered before.
func (l *Ledger) others() []string { return storesOutside(l.watcher.Catalog()) }

func storesOutside(catalog *directory.Catalog) []string {
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

// maintain keeps the store's registration and, on the leader, what the
// directory knows of the group.
func (l *Ledger) maintain(ctx context.Context, opened *replica.Replica) {
	every(ctx, registerInterval, func() {
		catalog, status := l.watcher.Catalog(), opened.Status()
		known, ok := catalog.Stores[l.settings.Name]
		if catalog.Revision > 0 && (!ok || known.Replica != status.ID || known.Address != l.settings.InternalAddress) {
			l.register(ctx, status.ID)
		}
		opened.Do(func() { l.executor.orders.Observe(nowMillis(), l.machine.Orders()) })
		if status.Serving {
			l.lead(ctx, opened, catalog, status)
		}
	})
}

func (l *Ledger) lead(ctx context.Context, opened *replica.Replica, catalog *directory.Catalog, status *replica.Status) {
	retiring := map[consensus.ReplicaID]bool{}
	emptied := false
	for _, store := range catalog.Stores {
		if !store.Retiring {
			continue
		}
		retiring[store.Replica] = true
		_, member := consensus.Membership{Members: status.Members}.Member(store.Replica)
		emptied = emptied || !store.Retired && !member
	}
	opened.SetRetiring(retiring)
	if !mayReport(status, catalog.Group.Members, emptied) {
		return
	}
	l.watcher.call(ctx, directoryCall{Report: &directory.Group{Members: status.Members, Number: status.Commit}})
}

// mayReport tells whether the directory is to be told of the group's members, of which it knows
// some. It takes a retiring store for empty once its replica is none: that waits until the group
// has all its voters without it, since others may be lost as soon as it is told.
func mayReport(status *replica.Status, known []consensus.Member, emptied bool) bool {
	if !status.MembersCommitted || emptied && status.MissingVoters > 0 {
		return false
	}
	return emptied || !sameMembers(known, status.Members)
}

func sameMembers(a, b []consensus.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for position := range a {
		if a[position] != b[position] {
			return false
		}
	}
	return true
}
