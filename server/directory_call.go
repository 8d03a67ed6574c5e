package server

import (
	"context"
	"net/http"
	"time"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/upgrade"
)

// directoryCall is a call to the directory's leader. Exactly one field is set, apart from those that
// accompany another one.
type directoryCall struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	// Leave is the name of a backend that shuts down, and LeaveBorn its start time if known.
	Leave   string                      `cbor:"2,keyasint,omitempty"`
	Put     *directory.PutConfiguration `cbor:"3,keyasint,omitempty"`
	Name    *directory.ModelVersion     `cbor:"4,keyasint,omitempty"`
	Read    bool                        `cbor:"5,keyasint,omitempty"`
	Retire  *directory.Retire           `cbor:"6,keyasint,omitempty"`
	Retired string                      `cbor:"7,keyasint,omitempty"`
	Store   *directory.Store            `cbor:"8,keyasint,omitempty"`
	Report  *directory.Group            `cbor:"9,keyasint,omitempty"`
	// Heard are the IDs of backends that another replica has received heartbeats from. It accompanies Clock
	// or Newest.
	Heard []string `cbor:"10,keyasint,omitempty"`
	// Newest asks for the revision that a quorum has confirmed.
	Newest bool       `cbor:"11,keyasint,omitempty"`
	Usage  *usageCall `cbor:"12,keyasint,omitempty"`
	// Clock is a follower's clock reading.
	Clock      *clockReading   `cbor:"13,keyasint,omitempty"`
	Quarantine *quarantineCall `cbor:"14,keyasint,omitempty"`
	LeaveBorn  int64           `cbor:"16,keyasint,omitempty"`
	// Heartbeats are those of several backends that change their registrations.
	Heartbeats []Heartbeat `cbor:"17,keyasint,omitempty"`
	// Demands are those of the ledger's leader, by service.
	Demands []capacity.Demand `cbor:"19,keyasint,omitempty"`
	// Missed accompanies Newest, and asks for the changes up to that revision that a copy lacks.
	Missed *missedCall `cbor:"18,keyasint,omitempty"`
	// Says is the version report of the replica that sends Clock.
	Says *upgrade.VersionReport `cbor:"20,keyasint,omitempty"`
	// Passed is set on a call that a replica has forwarded, which is not forwarded again.
	Passed bool `cbor:"15,keyasint,omitempty"`
}

// missedCall describes the copy of the directory that a process has; see directory.Watch.
type missedCall struct {
	Since uint64          `cbor:"1,keyasint"`
	Scope directory.Scope `cbor:"2,keyasint,omitempty"`
	Held  string          `cbor:"3,keyasint,omitempty"`
}

// clockReading is a machine's wall clock in milliseconds since 1970, with the replica's zone.
type clockReading struct {
	Machine string                `cbor:"1,keyasint"`
	Millis  int64                 `cbor:"2,keyasint"`
	At      directory.ReplicaZone `cbor:"3,keyasint"`
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
	// Revision answers Newest.
	Revision uint64       `cbor:"7,keyasint,omitempty"`
	Usage    *usageAnswer `cbor:"8,keyasint,omitempty"`
	// Granted is set if the requested trial is granted.
	Granted bool `cbor:"9,keyasint,omitempty"`
	// Missed answers directoryCall.Missed.
	Missed *directory.Delta `cbor:"10,keyasint,omitempty"`
}

// logName returns the call's name in logs, or "" for frequent calls, whose failures are not logged.
func (c directoryCall) logName() string {
	switch {
	case c.Put != nil:
		return "put"
	case c.Read:
		return "read"
	case c.Name != nil:
		return "name"
	case c.Retire != nil:
		return "retire"
	case c.Retired != "":
		return "retired"
	}
	return ""
}

// call executes the call on the leader, and logs a failure.
func (d *Directory) call(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	answer, err := d.forward(ctx, call)
	if name := call.logName(); err != nil && name != "" {
		event.CallFailed.On(d.logger).Str("call", name).Str("leader", d.replica.Status().Leader).Err(err).Send()
	}
	return answer, err
}

func (d *Directory) forward(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	status := d.replica.Status()
	if status.Leading {
		return d.handle(ctx, call)
	}
	if status.Leader == "" {
		return directoryAnswer{}, replica.ErrUnavailable.New("no leader is known")
	}
	call.Passed = true
	return callDirectory(ctx, d.client, status.Leader, call)
}

// callDirectory sends the call to the replica at the address and returns its answer.
func callDirectory(ctx context.Context, client *http.Client, address string, call directoryCall) (directoryAnswer, error) {
	var answer directoryAnswer
	data, err := replica.PostInternal(ctx, client, "http://"+address+directoryCallPath, encodeInternal(call))
	if err != nil {
		return answer, err
	}
	return answer, decodeInternal(data, &answer)
}

// serveCall serves a call of another process. A follower forwards it, because the caller may know no
// other replica.
func (d *Directory) serveCall(response http.ResponseWriter, request *http.Request) {
	var call directoryCall
	memory, err := readCBOR(d.intake, request, &call)
	if err != nil {
		refuseCall(response, request, err)
		return
	}
	defer memory.Release()
	if call.Passed && !d.replica.Status().Leading {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	answer, err := d.forward(request.Context(), call)
	if err != nil {
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeCBOR(response, answer)
}

// handle executes a call on the leader, and records its latency.
func (d *Directory) handle(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	answer := directoryAnswer{Leader: d.settings.InternalAddress}
	start := time.Now()
	err := d.dispatch(ctx, call, &answer)
	d.metrics.calls.WithLabelValues(outcomeLabel(err)).Observe(time.Since(start).Seconds())
	return answer, err
}

func (d *Directory) dispatch(ctx context.Context, call directoryCall, answer *directoryAnswer) error {
	d.heartbeats.recordReported(clock.Now(), call.Heard)
	var err error
	switch {
	case call.Heartbeats != nil:
		err = d.handleHeartbeats(ctx, call.Heartbeats)
	case call.Clock != nil:
		d.usage.recordClock(call.Clock.Machine, call.Clock.Millis)
		d.versions.recordReport(call.Clock.At.Address, call.Says)
		err = d.recordZone(ctx, call.Clock.At)
	case call.Usage != nil:
		answer.Usage, err = d.usage.handleCall(ctx, call.Usage)
	case call.Quarantine != nil:
		err = d.handleQuarantine(ctx, call.Quarantine, answer)
	case call.Demands != nil:
		d.scale.recordDemands(call.Demands)
	case call.Leave != "":
		event.BackendDeregistered.On(d.logger).Str("backend", call.Leave).Int("born", call.LeaveBorn).Send()
		_, err = d.execute(ctx, directory.Command{RemoveBackend: &directory.RemoveBackend{
			Name: call.Leave, Born: call.LeaveBorn, LatestBirth: d.currentTime(),
		}})
	case call.Put != nil:
		err = d.handlePut(ctx, call.Put, answer)
	case call.Name != nil:
		event.WeightsPublished.On(d.logger).Str("model", call.Name.Model).Uint("version", call.Name.Version).Send()
		_, err = d.execute(ctx, directory.Command{NameVersion: call.Name})
	case call.Read:
		err = d.handleRead(ctx, answer)
	case call.Newest:
		err = d.handleNewest(ctx, call.Missed, answer)
	case call.Retire != nil:
		err = d.handleRetire(ctx, call.Retire, answer)
	case call.Retired != "":
		err = d.handleRetired(ctx, call.Retired, answer)
	case call.Store != nil:
		err = d.handleStore(ctx, *call.Store)
	case call.Report != nil:
		_, err = d.execute(ctx, directory.Command{ReportGroup: call.Report})
	}
	return err
}

func (d *Directory) execute(ctx context.Context, command directory.Command) (directory.Result, error) {
	d.versions.recordCommand(command)
	data, err := d.replica.Execute(ctx, command.Encode())
	if err != nil {
		return directory.Result{}, err
	}
	return directory.DecodeResult(data)
}

// recordZone stores a replica's zone if it has changed.
func (d *Directory) recordZone(ctx context.Context, replicaZone directory.ReplicaZone) error {
	if replicaZone.Address == "" || d.view.Load().Zones[replicaZone.Address] == replicaZone {
		return nil
	}
	_, err := d.execute(ctx, directory.Command{PutZone: &replicaZone})
	return err
}

func (d *Directory) handlePut(ctx context.Context, put *directory.PutConfiguration, answer *directoryAnswer) error {
	result, err := d.execute(ctx, directory.Command{PutConfiguration: put})
	answer.Version = result.Version
	entry := event.ConfigurationSubmitted.On(d.logger).Uint("offered", put.Configuration.Version).Uint("held", result.Version)
	if err != nil {
		entry.Err(err)
	}
	entry.Send()
	return err
}

func (d *Directory) handleRead(ctx context.Context, answer *directoryAnswer) error {
	if err := d.replica.Confirm(ctx); err != nil {
		return err
	}
	d.replica.Do(func() { answer.Source, answer.Version = d.machine.Source(), d.machine.Version() })
	return nil
}

func (d *Directory) handleNewest(ctx context.Context, missed *missedCall, answer *directoryAnswer) error {
	if err := d.replica.Confirm(ctx); err != nil {
		return err
	}
	d.replica.Do(func() {
		answer.Revision = d.machine.Revision()
		if missed != nil {
			delta := d.machine.DeltaFor(directory.Watch{Since: missed.Since, Scope: missed.Scope, Held: missed.Held})
			answer.Missed = &delta
		}
	})
	if answer.Missed != nil {
		answer.Missed.Replicas = d.replica.Status().Members
	}
	return nil
}

func (d *Directory) handleRetire(ctx context.Context, retire *directory.Retire, answer *directoryAnswer) error {
	result, err := d.execute(ctx, directory.Command{Retire: retire})
	answer.Retire = result.Retire
	event.RetireRequested.On(d.logger).Str("store", retire.Name).Uint("outcome", uint64(result.Retire)).Send()
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
	var registered directory.Store
	var ok bool
	d.replica.Do(func() { registered, ok = d.machine.Store(store.Name) })
	if ok && registered.Replica == store.Replica && registered.Address == store.Address {
		return nil
	}
	d.mutex.Lock()
	d.newestStoreAt = time.Now()
	if d.firstStoreAt.IsZero() {
		d.firstStoreAt = d.newestStoreAt
	}
	d.mutex.Unlock()
	event.StoreRegistered.On(d.logger).Str("store", store.Name).Str("address", store.Address).Uint("replica", uint64(store.Replica)).Send()
	_, err := d.execute(ctx, directory.Command{PutStore: &store})
	return err
}

func boolToUint(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
