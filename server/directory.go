package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
)

const (
	directoryCallPath  = "/internal/directory/call"
	directoryWatchPath = "/internal/directory/watch"
	// watchWait is how long a watch is held while nothing changes.
	watchWait = 2 * time.Second
	// reviewInterval is the time between the leader's reviews of what is silent.
	reviewInterval = 250 * time.Millisecond
	// silentBeats and goneBeats are the numbers of missed heartbeats after which
	// a backend counts as silent, and is taken out.
	silentBeats = 4
	goneBeats   = 20
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
}

// directoryCall is a call to the directory's leader. Exactly one field is set.
type directoryCall struct {
	Heartbeat *Heartbeat                  `cbor:"1,keyasint,omitempty"`
	Leave     string                      `cbor:"2,keyasint,omitempty"`
	Put       *directory.PutConfiguration `cbor:"3,keyasint,omitempty"`
	Name      *directory.ModelVersion     `cbor:"4,keyasint,omitempty"`
	Read      bool                        `cbor:"5,keyasint,omitempty"`
	Retire    *directory.Retire           `cbor:"6,keyasint,omitempty"`
	Retired   string                      `cbor:"7,keyasint,omitempty"`
	Store     *directory.Store            `cbor:"8,keyasint,omitempty"`
	Report    *directory.Group            `cbor:"9,keyasint,omitempty"`
}

// directoryAnswer is the answer to a directoryCall.
type directoryAnswer struct {
	// Leader is the internal address of the replica that served the call.
	Leader  string                  `cbor:"1,keyasint,omitempty"`
	Source  []byte                  `cbor:"2,keyasint,omitempty"`
	Version uint64                  `cbor:"3,keyasint,omitempty"`
	Retire  directory.RetireOutcome `cbor:"4,keyasint,omitempty"`
	Found   bool                    `cbor:"5,keyasint,omitempty"`
	Retired bool                    `cbor:"6,keyasint,omitempty"`
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
	watches  *watchCounter

	mutex sync.Mutex
	// heard is when each backend was last heard of, and sequences the highest
	// heartbeat of each; both belong to one leadership.
	heard     map[string]time.Time
	sequences map[string]uint64
	serving   bool
	// newestStore is when a store last registered for the first time.
	newestStore, firstStore time.Time
}

// watchCounter counts the watches that are held.
type watchCounter struct {
	mutex sync.Mutex
	held  int
}

func (w *watchCounter) add(change int) {
	w.mutex.Lock()
	w.held += change
	w.mutex.Unlock()
}

// NewDirectory opens the replica's data folder or sets it up.
func NewDirectory(settings config.Directory, seeds *Seeds, logger *zerolog.Logger) (*Directory, error) {
	machine := directory.NewMachine()
	founders, identity := directoryFounders(settings)
	opened, err := replica.Open(replica.Settings{
		Cluster: settings.Cluster + "-directory", Address: settings.InternalAddress, DataFolder: settings.DataFolder,
		Voters: config.Voters(settings.ToleratedLosses), Founders: founders, Replica: identity,
		Contacts: seeds.Addresses,
	}, machine, logger)
	if err != nil {
		return nil, err
	}
	return &Directory{
		settings: settings, logger: logger, machine: machine, replica: opened,
		client: replica.NewInternalClient(), watches: &watchCounter{},
		heard: map[string]time.Time{}, sequences: map[string]uint64{},
	}, nil
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
	return d.replica.Run(ctx)
}

// Status returns the replica's status.
func (d *Directory) Status() *replica.Status { return d.replica.Status() }

// call has the leader carry out the call, wherever it is.
func (d *Directory) call(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	status := d.replica.Status()
	if status.Leading {
		return d.handle(ctx, call)
	}
	if status.Leader == "" {
		return directoryAnswer{}, replica.ErrUnavailable.New("no leader is known")
	}
	return callDirectory(ctx, d.client, status.Leader, call)
}

// callDirectory sends the call to the replica at the address.
func callDirectory(ctx context.Context, client *http.Client, address string, call directoryCall) (directoryAnswer, error) {
	var answer directoryAnswer
	body, err := cbor.Marshal(call)
	if err != nil {
		panic("server: a call must encode: " + err.Error())
	}
	data, err := replica.PostInternal(ctx, client, "http://"+address+directoryCallPath, body)
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(data, &answer)
}

func (d *Directory) serveCall(response http.ResponseWriter, request *http.Request) {
	var call directoryCall
	if !readCBOR(response, request, &call) {
		return
	}
	if !d.replica.Status().Leading {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	answer, err := d.handle(request.Context(), call)
	if err != nil {
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeCBOR(response, answer)
}

// readCBOR decodes the body of an internal call, or answers that it cannot.
func readCBOR(response http.ResponseWriter, request *http.Request, into any) bool {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxInternalBytes))
	if err == nil {
		err = cbor.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(response, "malformed call", http.StatusBadRequest)
	}
	return err == nil
}

func writeCBOR(response http.ResponseWriter, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("server: an answer must encode: " + err.Error())
	}
	response.Header().Set("Content-Type", "application/cbor")
	response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	response.Write(data)
}

// handle carries out a call on the leader.
func (d *Directory) handle(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	answer := directoryAnswer{Leader: d.settings.InternalAddress}
	var err error
	switch {
	case call.Heartbeat != nil:
		err = d.handleHeartbeat(ctx, *call.Heartbeat)
	case call.Leave != "":
		event.BackendLeft.On(d.logger).Str("backend", call.Leave).Send()
		_, err = d.execute(ctx, directory.Command{RemoveBackend: &directory.RemoveBackend{ID: call.Leave}})
	case call.Put != nil:
		err = d.handlePut(ctx, call.Put, &answer)
	case call.Name != nil:
		event.VersionNamed.On(d.logger).Str("model", call.Name.Model).Uint("version", call.Name.Version).Send()
		_, err = d.execute(ctx, directory.Command{NameVersion: call.Name})
	case call.Read:
		err = d.handleRead(ctx, &answer)
	case call.Retire != nil:
		err = d.handleRetire(ctx, call.Retire, &answer)
	case call.Retired != "":
		err = d.handleRetired(ctx, call.Retired, &answer)
	case call.Store != nil:
		err = d.handleStore(ctx, *call.Store)
	case call.Report != nil:
		_, err = d.execute(ctx, directory.Command{ReportGroup: call.Report})
	}
	return answer, err
}

func (d *Directory) execute(ctx context.Context, command directory.Command) (directory.Result, error) {
	data, err := d.replica.Execute(ctx, command.Encode())
	if err != nil {
		return directory.Result{}, err
	}
	return directory.DecodeResult(data)
}

func (d *Directory) handlePut(ctx context.Context, put *directory.PutConfiguration, answer *directoryAnswer) error {
	result, err := d.execute(ctx, directory.Command{PutConfiguration: put})
	answer.Version = result.Version
	line := event.ConfigurationPut.On(d.logger).Uint("offered", put.Configuration.Version).Uint("held", result.Version)
	if err != nil {
		line.Err(err)
	}
	line.Send()
	return err
}

func (d *Directory) handleRead(ctx context.Context, answer *directoryAnswer) error {
	if err := d.replica.Confirm(ctx); err != nil {
		return err
	}
	d.replica.Do(func() { answer.Source, answer.Version = d.machine.Source(), d.machine.Version() })
	return nil
}

func (d *Directory) handleRetire(ctx context.Context, retire *directory.Retire, answer *directoryAnswer) error {
	result, err := d.execute(ctx, directory.Command{Retire: retire})
	answer.Retire = result.Retire
	event.RetireAsked.On(d.logger).Str("store", retire.Name).Uint("outcome", uint64(result.Retire)).Send()
	return err
}

func (d *Directory) handleRetired(ctx context.Context, name string, answer *directoryAnswer) error {
	if err := d.replica.Confirm(ctx); err != nil {
		return err
	}
	d.replica.Do(func() {
		store, ok := d.machine.Store(name)
		answer.Found = ok && store.Retiring
		answer.Retired = store.Retired
	})
	return nil
}

func (d *Directory) handleStore(ctx context.Context, store directory.Store) error {
	var known directory.Store
	var ok bool
	d.replica.Do(func() { known, ok = d.machine.Store(store.Name) })
	if ok && known.Replica == store.Replica && known.Address == store.Address {
		return nil
	}
	d.mutex.Lock()
	d.newestStore = time.Now()
	if d.firstStore.IsZero() {
		d.firstStore = d.newestStore
	}
	d.mutex.Unlock()
	event.StoreRegistered.On(d.logger).Str("store", store.Name).Str("address", store.Address).Uint("replica", uint64(store.Replica)).Send()
	_, err := d.execute(ctx, directory.Command{PutStore: &store})
	return err
}

// handleHeartbeat notes that the backend was heard. Only what changes its
// registration becomes an entry of the log.
func (d *Directory) handleHeartbeat(ctx context.Context, heartbeat Heartbeat) error {
	if !d.noteHeard(heartbeat) {
		return nil
	}
	backend := heartbeat.Backend
	var known directory.Backend
	var registered, gone bool
	if !d.replica.Do(func() {
		known, registered = d.machine.Backend(backend.ID)
		gone = d.machine.Gone(backend.ID)
	}) {
		return replica.ErrUnavailable.New("the replica has stopped")
	}
	if gone || registered && sameRegistration(known, backend) {
		return nil
	}
	event.BackendRegistered.On(d.logger).Str("backend", backend.ID).Str("service", backend.Service).
		Str("address", backend.Address).Uint("draining", boolToUint(backend.Draining)).Send()
	_, err := d.execute(ctx, directory.Command{PutBackend: &backend})
	return err
}

// noteHeard takes in when the backend was heard, and tells whether the
// heartbeat is newer than those before.
func (d *Directory) noteHeard(heartbeat Heartbeat) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	id := heartbeat.Backend.ID
	if heartbeat.Sequence < d.sequences[id] {
		return false
	}
	d.sequences[id] = heartbeat.Sequence
	d.heard[id] = time.Now()
	return true
}

func sameRegistration(known, backend directory.Backend) bool {
	if len(known.Models) != len(backend.Models) {
		return false
	}
	for position, held := range backend.Models {
		if known.Models[position] != held {
			return false
		}
	}
	// A mark of draining is never taken back, whatever a late heartbeat says.
	return known.Service == backend.Service && known.Address == backend.Address && known.Zone == backend.Zone &&
		known.Slots == backend.Slots && (known.Draining || !backend.Draining) && !known.Silent
}

func boolToUint(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}

// review looks for silent backends and forms the first group of stores, while
// this replica leads.
func (d *Directory) review(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		serving := d.replica.Status().Serving
		d.beginServing(serving)
		if !serving {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		d.reviewBackends(limited)
		d.formGroup(limited)
		cancel()
	}
}

// beginServing forgets, when a leadership begins, what was heard in an earlier one.
func (d *Directory) beginServing(serving bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if serving && !d.serving {
		d.heard, d.sequences = map[string]time.Time{}, map[string]uint64{}
		d.firstStore, d.newestStore = time.Time{}, time.Time{}
	}
	d.serving = serving
}

func (d *Directory) reviewBackends(ctx context.Context) {
	var backends []directory.Backend
	d.replica.Do(func() { backends = d.machine.Backends() })
	for _, backend := range backends {
		switch silence := d.silence(backend.ID); {
		case silence > goneBeats*d.settings.HeartbeatInterval:
			event.BackendGone.On(d.logger).Str("backend", backend.ID).Uint("silent_ms", uint64(silence.Milliseconds())).Send()
			d.execute(ctx, directory.Command{RemoveBackend: &directory.RemoveBackend{ID: backend.ID}})
		case silence > silentBeats*d.settings.HeartbeatInterval && !backend.Silent:
			event.BackendSilent.On(d.logger).Str("backend", backend.ID).Uint("silent_ms", uint64(silence.Milliseconds())).Send()
			backend.Silent = true
			d.execute(ctx, directory.Command{PutBackend: &backend})
		}
	}
}

// silence returns how long the backend has not been heard of, counted from the
// start of this leadership at the earliest.
func (d *Directory) silence(id string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	heard, ok := d.heard[id]
	if !ok {
		d.heard[id] = time.Now()
		return 0
	}
	return time.Since(heard)
}

// formGroup makes the first group of the ledger out of the stores that have
// registered, with as many zones as there are.
func (d *Directory) formGroup(ctx context.Context) {
	var stores []directory.Store
	formed := true
	d.replica.Do(func() {
		stores = d.machine.Stores()
		formed = len(d.machine.Group().Members) > 0
	})
	if formed || !d.formationDue(len(stores)) {
		return
	}
	members := chooseFounders(stores, config.Voters(d.settings.ToleratedLosses))
	if len(members) == 0 {
		return
	}
	event.GroupFormed.On(d.logger).Uint("members", uint64(len(members))).Send()
	d.execute(ctx, directory.Command{FormGroup: &directory.Group{Members: members}})
}

func (d *Directory) formationDue(stores int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstStore.IsZero() {
		if stores > 0 {
			d.firstStore, d.newestStore = time.Now(), time.Now()
		}
		return false
	}
	if time.Since(d.newestStore) < formationPause {
		return false
	}
	return stores >= config.Voters(d.settings.ToleratedLosses) || time.Since(d.firstStore) > formationWait
}

// chooseFounders takes fresh stores by turns from each zone.
func chooseFounders(stores []directory.Store, most int) []consensus.Member {
	byZone := map[string][]directory.Store{}
	var zones []string
	for _, store := range stores {
		if !store.Fresh {
			continue
		}
		if len(byZone[store.Zone]) == 0 {
			zones = append(zones, store.Zone)
		}
		byZone[store.Zone] = append(byZone[store.Zone], store)
	}
	sort.Strings(zones)
	var members []consensus.Member
	for round := 0; len(members) < most; round++ {
		before := len(members)
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(members) < most {
				store := byZone[zone][round]
				members = append(members, consensus.Member{ID: store.Replica, Address: store.Address, Voter: true})
			}
		}
		if len(members) == before {
			break
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// serveWatch answers with what changed after a revision, as soon as there is
// something. A replica that hears no leader answers nothing: it may be cut off.
func (d *Directory) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(response, "since: must be a number", http.StatusBadRequest)
		return
	}
	d.watches.add(1)
	defer d.watches.add(-1)
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
	for {
		changed := d.replica.Changed()
		var delta directory.Delta
		var revision uint64
		if !d.replica.Status().Heard || !d.replica.Do(func() {
			if revision = d.machine.Revision(); revision > since {
				delta = d.machine.DeltaSince(since)
			}
		}) {
			http.Error(response, "no leader is known", http.StatusServiceUnavailable)
			return
		}
		if revision > since {
			delta.Replicas = d.replica.Status().Members
			writeCBOR(response, delta)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout.C:
			if revision < since {
				http.Error(response, "this replica trails", http.StatusServiceUnavailable)
				return
			}
			writeCBOR(response, directory.Delta{
				Revision: since, Version: 0, Replicas: d.replica.Status().Members,
			})
			return
		}
	}
}

// Heartbeat takes in what a backend says about itself, and returns the internal
// address of the leader.
func (d *Directory) Heartbeat(ctx context.Context, heartbeat Heartbeat) (string, error) {
	answer, err := d.call(ctx, directoryCall{Heartbeat: &heartbeat})
	return answer.Leader, err
}

// Leave takes out a backend that ends.
func (d *Directory) Leave(ctx context.Context, id string) error {
	_, err := d.call(ctx, directoryCall{Leave: id})
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
