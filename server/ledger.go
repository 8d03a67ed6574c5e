package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/storage"
)

const (
	ledgerCallPath = "/internal/ledger/call"
	// registerInterval is the time between a store's reviews of its
	// registration, and of what it has to do for the group.
	registerInterval = 200 * time.Millisecond
	// registerRefresh is how long a registration that was taken is not repeated.
	registerRefresh = 3 * time.Second
	// resultBytes bounds the texts in one answer, though one result is always there.
	resultBytes = 768 << 10
	// maxResultWait bounds how long a call for results is held.
	maxResultWait = time.Second
)

// ledgerCall is a call to the leader of a group of the ledger. Exactly one
// pointer is set.
type ledgerCall struct {
	Submit  *ledger.Step `cbor:"1,keyasint,omitempty"`
	Results *resultsCall `cbor:"2,keyasint,omitempty"`
	Sample  *sampleCall  `cbor:"3,keyasint,omitempty"`
	End     *ledger.End  `cbor:"4,keyasint,omitempty"`
}

type resultsCall struct {
	Step  string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

type sampleCall struct {
	Step string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
}

// ledgerAnswer is the answer to a ledgerCall.
type ledgerAnswer struct {
	// NotLeader: nothing was done; Leader is where to ask, if that is known.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Unknown: the call may or may not have been carried out.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	Found   bool `cbor:"4,keyasint,omitempty"`
	// Total is the number of samples of the step.
	Total   int             `cbor:"5,keyasint,omitempty"`
	Results []ledger.Result `cbor:"6,keyasint,omitempty"`
	Body    []byte          `cbor:"7,keyasint,omitempty"`
}

// Ledger runs a store: a replica of a group of the ledger and, on its leader,
// the executor that runs the samples.
type Ledger struct {
	settings config.Ledger
	logger   *zerolog.Logger
	machine  *ledger.Machine
	watcher  *Watcher
	executor *Executor
	metrics  ledgerMetrics
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
		watcher:  NewWatcher(seeds, spread(settings.Name), logger),
		identity: replica.NewIdentity(),
	}
	l.metrics = newLedgerMetrics()
	l.executor = newExecutor(settings, l.watcher, engines, forward.New(backends, settings.Zone), l.metrics, logger)
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
	httpServer := newHTTPServer(router)
	serveHTTP(httpServer, internal, l.logger)
	defer httpServer.Close()
	go l.maintain(watchContext, opened)
	go l.executor.run(watchContext, opened, l.machine)
	return opened.Run(ctx)
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
	held := storage.Holds(l.settings.DataFolder)
	if !held {
		if err := l.identify(); err != nil {
			return nil, err
		}
	}
	settings := replica.Settings{
		Cluster: l.cluster(), Address: l.settings.InternalAddress, DataFolder: l.settings.DataFolder,
		Voters: config.Voters(l.settings.ToleratedLosses), Standby: max(l.settings.ToleratedLosses, 1),
		Replica: l.identity, Contacts: l.contacts,
	}
	if !held {
		group, ok := l.awaitGroup(ctx)
		if !ok {
			return nil, nil
		}
		if group.Number == 0 {
			settings.Founders = consensus.Membership{Members: group.Members}
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
	reserved, err := storage.Reserved(l.settings.DataFolder, l.cluster())
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
	return storage.Reserve(l.settings.DataFolder, l.cluster(), l.identity)
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

// contacts returns the addresses of the group's members.
func (l *Ledger) contacts() []string {
	var addresses []string
	for _, member := range l.watcher.Catalog().Group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// maintain keeps the store's registration and, on the leader, what the
// directory knows of the group.
func (l *Ledger) maintain(ctx context.Context, opened *replica.Replica) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		catalog, status := l.watcher.Catalog(), opened.Status()
		known, ok := catalog.Stores[l.settings.Name]
		if catalog.Revision > 0 && (!ok || known.Replica != status.ID || known.Address != l.settings.InternalAddress) {
			l.register(ctx, status.ID)
		}
		opened.Do(func() { l.executor.orders.note(nowMillis(), l.machine.Orders()) })
		if status.Serving {
			l.lead(ctx, opened, catalog, status)
		}
	}
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
	if !status.MembersCommitted || sameMembers(catalog.Group.Members, status.Members) && !emptied {
		return
	}
	l.watcher.call(ctx, directoryCall{Report: &directory.Group{Members: status.Members, Number: status.Commit}})
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

func (l *Ledger) serveCall(response http.ResponseWriter, request *http.Request) {
	var call ledgerCall
	if readCBOR(response, request, &call) {
		writeCBOR(response, l.handle(request.Context(), call))
	}
}

func (l *Ledger) handle(ctx context.Context, call ledgerCall) ledgerAnswer {
	status := l.replica.Status()
	if !status.Serving {
		return ledgerAnswer{NotLeader: true, Leader: status.Leader}
	}
	switch {
	case call.Submit != nil:
		return l.submit(ctx, call.Submit)
	case call.Results != nil:
		return l.results(ctx, *call.Results)
	case call.Sample != nil:
		return l.sample(ctx, *call.Sample)
	case call.End != nil:
		return l.end(ctx, call.End)
	}
	return ledgerAnswer{}
}

// submit takes a step in. Its times are counted from the first send, by the
// leader's clock.
func (l *Ledger) submit(ctx context.Context, step *ledger.Step) ledgerAnswer {
	now := nowMillis()
	step.SubmittedAt = now
	step.DueAt += now
	if step.GiveUpAt > 0 {
		step.GiveUpAt += now
	}
	known := false
	l.replica.Do(func() { known = l.machine.Step(step.ID) != nil })
	if known {
		event.StepKnown.On(l.logger).Str("step", step.ID).Send()
		return ledgerAnswer{Found: true}
	}
	_, err := l.replica.Execute(ctx, ledger.Command{Submit: step}.Encode())
	line := event.StepTaken.On(l.logger).Str("step", step.ID).Uint("number", uint64(step.Number)).
		Uint("samples", uint64(len(step.Samples))).Uint("oldest_version", step.OldestVersion)
	if err != nil {
		line.Err(err).Send()
		return ledgerAnswer{Unknown: true}
	}
	line.Send()
	return ledgerAnswer{Found: true}
}

// results answers with the results after a position, as soon as there are some.
func (l *Ledger) results(ctx context.Context, call resultsCall) ledgerAnswer {
	timeout := time.NewTimer(min(call.Wait, maxResultWait))
	defer timeout.Stop()
	for {
		changed := l.replica.Changed()
		answer := l.resultsNow(call)
		if !answer.Found {
			return l.notFound(ctx)
		}
		if len(answer.Results) > 0 || call.Wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			return answer
		case <-ctx.Done():
			return answer
		}
		if !l.replica.Status().Serving {
			return ledgerAnswer{NotLeader: true, Leader: l.replica.Status().Leader}
		}
	}
}

func (l *Ledger) resultsNow(call resultsCall) ledgerAnswer {
	var answer ledgerAnswer
	l.replica.Do(func() {
		entry := l.machine.Step(call.Step)
		if entry == nil {
			return
		}
		answer.Found, answer.Total = true, len(entry.Step.Samples)
		bytes := 0
		for position := max(call.After, 0); position < len(entry.Results) && bytes < resultBytes; position++ {
			answer.Results = append(answer.Results, entry.Results[position])
			bytes += len(entry.Results[position].Text)
		}
	})
	return answer
}

// notFound says that something does not exist, which only a leader that a
// quorum has confirmed can know.
func (l *Ledger) notFound(ctx context.Context) ledgerAnswer {
	if l.replica.Confirm(ctx) != nil {
		return ledgerAnswer{Unknown: true}
	}
	return ledgerAnswer{}
}

func (l *Ledger) sample(ctx context.Context, call sampleCall) ledgerAnswer {
	var answer ledgerAnswer
	l.replica.Do(func() {
		entry := l.machine.Step(call.Step)
		if entry == nil {
			return
		}
		if sample := entry.Sample(call.ID); sample != nil {
			answer.Found, answer.Body = true, sample.Body
		}
	})
	if !answer.Found {
		return l.notFound(ctx)
	}
	return answer
}

func (l *Ledger) end(ctx context.Context, end *ledger.End) ledgerAnswer {
	known, ended := false, false
	l.replica.Do(func() {
		if entry := l.machine.Step(end.Step); entry != nil {
			known, ended = true, entry.Ended
		}
	})
	if !known {
		return l.notFound(ctx)
	}
	if ended {
		return ledgerAnswer{Found: true}
	}
	_, err := l.replica.Execute(ctx, ledger.Command{End: end}.Encode())
	event.StepEnded.On(l.logger).Str("step", end.Step).Uint("failed", boolToUint(err != nil)).Send()
	return ledgerAnswer{Found: err == nil, Unknown: err != nil}
}
