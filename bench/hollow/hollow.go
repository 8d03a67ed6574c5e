package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/bench/fleet"
	"github.com/dillchute/dillchute/client"
	"github.com/dillchute/dillchute/declaration"
	"github.com/dillchute/dillchute/state"
)

var (
	namespace = errorx.NewNamespace("hollow")
	// ErrFailed: the run could not be set up, or did not settle in time.
	ErrFailed = namespace.NewType("failed")
)

// Config says what to run.
type Config struct {
	Nodes    int
	Workers  int
	Controls int
	Regions  int
	Zones    int
	// Phase is the length of the idle phase and of the phase of changes.
	Phase time.Duration
	// ChangesPerSecond is the rate of changes in their phase.
	ChangesPerSecond float64
	// Samples of SampleTokens tokens are submitted as one step for each of Trainers pools.
	Trainers     int
	Samples      int
	SampleTokens uint32
	Load         time.Duration
	Folder       string
	Product      string
	Out          io.Writer
}

const (
	slotsPerWorker = 16
	hollowModel    = "model"
	pollInterval   = 10 * time.Millisecond
	settleLimit    = 3 * time.Minute
	// statusInterval is the accuracy of times that wait for owners.
	statusInterval = 250 * time.Millisecond
	restartedNodes = 10
	sampleTime     = time.Second
)

// Run is one size's measurement.
type Run struct {
	config   Config
	controls *fleet.Controls
	client   *client.Client
	shared   *engines
	platform *http.Server
	mutex    sync.Mutex
	listed   []fleet.ListedEngine
	nodes    []*hollowNode
	revision uint64
	report   *Report
}

// Measure runs all phases and returns the report.
func Measure(ctx context.Context, config Config) (*Report, error) {
	r := &Run{config: config, shared: newEngines(config.Load, sampleTime), report: &Report{Nodes: config.Nodes, Workers: config.Workers, Controls: config.Controls}}
	defer r.close()
	phases := []func(context.Context) error{r.start, r.settle, r.idle, r.changes, r.weights, r.restarts, r.loseZone, r.samples}
	for _, phase := range phases {
		if err := phase(ctx); err != nil {
			return r.report, err
		}
	}
	return r.report, nil
}

func (r *Run) close() {
	for _, running := range r.nodes {
		running.kill()
	}
	if r.controls != nil {
		r.controls.Stop()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

func (r *Run) zone(number int) (zone, region string) {
	zoneNumber := number % r.config.Zones
	region = fmt.Sprintf("region-%d", zoneNumber%r.config.Regions)
	return fmt.Sprintf("%s-zone-%d", region, zoneNumber), region
}

func (r *Run) start(ctx context.Context) error {
	for number := range r.config.Workers {
		zone, region := r.zone(number)
		r.listed = append(r.listed, fleet.ListedEngine{
			ID: fmt.Sprintf("engine-%d", number), Zone: zone, Region: region, Group: "group",
			Address: "127.0.0.1:1", Slots: slotsPerWorker,
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ErrFailed.Wrap(err, "listen")
	}
	r.platform = &http.Server{Handler: http.HandlerFunc(r.list), ReadHeaderTimeout: time.Minute}
	go func() {
		// Serve ends with an error when the run ends.
		_ = r.platform.Serve(listener)
	}()
	if r.controls, err = fleet.StartControls(r.config.Folder, r.config.Product, listener.Addr().String(), r.config.Controls); err != nil {
		return err
	}
	r.client = client.New(r.controls.Addresses())
	// Until a replica listens, its port could be taken by a node.
	if err := r.awaitControls(ctx); err != nil {
		return err
	}
	for number := range r.config.Nodes {
		zone, region := r.zone(number)
		started, err := startNode(fmt.Sprintf("node-%d", number), zone, region, r.controls.Addresses(), r.shared)
		if err != nil {
			return ErrFailed.Wrap(err, "start a node")
		}
		r.nodes = append(r.nodes, started)
	}
	return nil
}

func (r *Run) awaitControls(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for _, address := range r.controls.Addresses() {
		for {
			response, err := http.Get("http://" + address + "/healthz")
			if err == nil {
				response.Body.Close()
				break
			}
			if err := pause(limited, pollInterval); err != nil {
				return ErrFailed.Wrap(err, "wait for a replica")
			}
		}
	}
	return nil
}

func (r *Run) list(response http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Control reads again if its connection ends.
	_ = json.NewEncoder(response).Encode(r.listed)
}

// settle waits until all nodes act on the declarations and all engines have
// an owner.
func (r *Run) settle(ctx context.Context) error {
	began := time.Now()
	if err := r.apply(ctx, 0); err != nil {
		return err
	}
	if err := r.awaitOwners(ctx, r.config.Nodes, r.config.Workers); err != nil {
		return err
	}
	r.report.SettleMillis = time.Since(began).Milliseconds()
	r.say("settled after %d ms", r.report.SettleMillis)
	return nil
}

// awaitOwners waits until so many nodes act on the declarations and so many
// engines are known, each with an owner.
func (r *Run) awaitOwners(ctx context.Context, nodes, engines int) error {
	limited, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		status, err := r.client.GetStatus(limited)
		if err != nil {
			return err
		}
		unowned := 0
		for _, engine := range status.Engines {
			if engine.Owner == "" {
				unowned++
			}
		}
		if len(status.Nodes) == nodes && len(status.Engines) == engines && unowned == 0 && r.behind() == 0 {
			return nil
		}
		if err := pause(limited, statusInterval); err != nil {
			return ErrFailed.New("not settled: %d nodes, %d engines, %d without an owner, %d nodes behind",
				len(status.Nodes), len(status.Engines), unowned, r.behind())
		}
	}
}

func (r *Run) say(format string, arguments ...any) {
	fmt.Fprintf(r.config.Out, "hollow: "+format+"\n", arguments...)
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// behind counts the nodes that do not act on the newest change under a lease.
func (r *Run) behind() int {
	count := 0
	for _, checked := range r.nodes {
		if !checked.leased.Load() || checked.revision.Load() < r.revision {
			count++
		}
	}
	return count
}

func poolName(number int) string { return fmt.Sprintf("pool-%d", number) }

// apply declares the pools, with a number that makes each declaration differ.
func (r *Run) apply(ctx context.Context, number int) error {
	limited, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	current, err := r.client.GetDeclarations(limited)
	if err != nil {
		return err
	}
	request := &dillchutev1.ApplyRequest{ChangeId: fmt.Sprintf("change-%d", number), BaseRevision: current.Revision}
	for pool := range r.config.Trainers {
		request.Pools = append(request.Pools, declaration.ToProto(state.PoolSpec{
			Name: poolName(pool), Model: hollowModel, EngineGroup: "group", Policy: state.ContinueRunning,
			MaxStalenessVersions: 1, SamplePriority: 2, LivePriority: 7, MaxQueuedRequests: 1000 + number,
			MaxQueuedTokens: 1 << 24, RetryPercent: 10, MaxSwappingPercent: 34, Disconnected: state.RefuseDisconnected,
		}))
	}
	response, err := r.client.Apply(limited, request)
	if err != nil {
		return err
	}
	if response.Outcome != dillchutev1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		return ErrFailed.New("change %d: %s %v", number, response.Outcome, response.Problems)
	}
	r.revision = response.Revision
	return nil
}

// during measures all processes while the work runs.
func (r *Run) during(ctx context.Context, work func(context.Context) error) (Cost, error) {
	ids := r.controls.ProcessIDs()
	before := make([]usage, len(ids))
	for position, id := range ids {
		before[position] = processUsage(id)
	}
	messages, bytes := r.traffic()
	lapses := r.lapses()
	own, began := ownProcessor(), time.Now()
	err := work(ctx)
	cost := Cost{Seconds: time.Since(began).Seconds()}
	for position, id := range ids {
		after := processUsage(id)
		cost.ControlCore = append(cost.ControlCore, (after.processor-before[position].processor).Seconds()/cost.Seconds)
		cost.ControlMiB = append(cost.ControlMiB, float64(after.resident)/(1<<20))
	}
	slices.Sort(cost.ControlCore)
	laterMessages, laterBytes := r.traffic()
	perNode := cost.Seconds * float64(r.config.Nodes)
	cost.NodeMiB = float64(processUsage(os.Getpid()).resident) / (1 << 20) / float64(r.config.Nodes)
	cost.NodeCore = (ownProcessor() - own).Seconds() / perNode
	cost.NodeMessages = float64(laterMessages-messages) / perNode
	cost.NodeBytes = float64(laterBytes-bytes) / perNode
	cost.Lapses = r.lapses() - lapses
	return cost, err
}

// traffic sums up what all nodes have sent and received.
func (r *Run) traffic() (messages, bytes uint64) {
	for _, counted := range r.nodes {
		counts := &counted.transport.Counts
		messages += counts.MessagesSent.Load() + counts.MessagesReceived.Load()
		bytes += counts.BytesSent.Load() + counts.BytesReceived.Load()
	}
	return messages, bytes
}

// lapses sums up how often leases have ended.
func (r *Run) lapses() uint64 {
	sum := uint64(0)
	for _, counted := range r.nodes {
		sum += counted.lapses.Load()
	}
	return sum
}
