// Package fleet runs a complete deployment on one machine, with one process per
// part, and reports the oracle's check of the records.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/bench/workload"
	"github.com/dillchute/dillchute/client"
)

var (
	namespace = errorx.NewNamespace("fleet")
	// ErrStart reports a part of the fleet that could not be started.
	ErrStart = namespace.NewType("start")
	// ErrViolated reports violated promises, failed parts or a run that delivered nothing.
	ErrViolated = namespace.NewType("violated")
)

// Config describes a run.
type Config struct {
	Workload *workload.Workload
	// Folder receives the fleet's files.
	Folder string
	// Product and Bench are the paths of the two programs.
	Product string
	Bench   string
	// Timeout bounds the whole run.
	Timeout time.Duration
	// Faults are injected while the load runs, in order of time.
	Faults []Fault
	Out    io.Writer
}

const (
	loopback   = "127.0.0.1"
	fileMode   = 0o600
	folderMode = 0o700
	// readyTimeout bounds the time until the fleet is ready.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// stopTimeout bounds a graceful shutdown.
	stopTimeout = 15 * time.Second
)

// Fleet is a running deployment.
type Fleet struct {
	config    Config
	parts     map[string]*part
	order     []string
	addresses map[string]string
	controls  []string
	engines   []ListedEngine
}

// ListedEngine is an entry of the platform's engine list.
type ListedEngine struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Group   string `json:"group"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Run starts the fleet, waits until its trainers and callers have ended, stops
// it, and returns the report, with ErrViolated if the run failed.
func Run(ctx context.Context, config Config) (*Report, error) {
	f := &Fleet{config: config, parts: map[string]*part{}, addresses: map[string]string{}}
	defer f.killAll()
	runCtx, cancel := context.WithTimeout(ctx, config.Timeout)
	defer cancel()
	startTime := time.Now()
	if err := f.start(runCtx); err != nil {
		return nil, err
	}
	f.logf("ready after %s: %d processes", time.Since(startTime).Round(time.Millisecond), len(f.parts))
	loadParts := f.startLoad()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		f.injectFaults(runCtx)
	}()
	failed := f.waitAll(runCtx, loadParts)
	<-faultsDone
	f.stopAll()
	report, err := f.report(failed)
	if err != nil {
		return nil, err
	}
	return report, report.err()
}

func (f *Fleet) logf(format string, arguments ...any) {
	fmt.Fprintf(f.config.Out, "fleet: "+format+"\n", arguments...)
}

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Folder, name) }

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.path("records"), folderMode); err != nil {
		return ErrStart.Wrap(err, "create folder")
	}
	if err := f.assignAddresses(); err != nil {
		return err
	}
	steps := []func() error{f.startControls, f.startServices, f.startEngines, f.startNodes}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return f.configure(ctx)
}

// assignAddresses keeps all listeners open until the end so that no port is assigned twice.
func (f *Fleet) assignAddresses() error {
	var names []string
	for number := range f.config.Workload.Controls {
		names = append(names, controlName(number))
	}
	names = append(names, "platform", "weight-store", "scorer")
	f.forEachEngine(func(name, _ string, _ workload.Group) { names = append(names, name) })
	f.forEachNode(func(name, _ string) { names = append(names, name, name+"-callers") })
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for _, name := range names {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return ErrStart.Wrap(err, "find a free port")
		}
		listeners = append(listeners, listener)
		f.addresses[name] = listener.Addr().String()
	}
	for number := range f.config.Workload.Controls {
		f.controls = append(f.controls, f.addresses[controlName(number)])
	}
	return nil
}

func controlName(number int) string { return fmt.Sprintf("control-%d", number+1) }

func (f *Fleet) forEachEngine(visit func(name, zone string, group workload.Group)) {
	for _, group := range f.config.Workload.Groups {
		for number := range group.Engines {
			zone := f.config.Workload.Zones[number%len(f.config.Workload.Zones)]
			visit(fmt.Sprintf("%s-%d", group.Name, number+1), zone, group)
		}
	}
}

func (f *Fleet) forEachNode(visit func(name, zone string)) {
	for _, zone := range f.config.Workload.Zones {
		for number := range f.config.Workload.NodesPerZone {
			visit(fmt.Sprintf("node-%s-%d", zone, number+1), zone)
		}
	}
}

func (f *Fleet) startControls() error {
	var members []string
	for number, address := range f.controls {
		members = append(members, fmt.Sprintf("%d=%s", number+1, address))
	}
	for number, address := range f.controls {
		name := controlName(number)
		settings := fmt.Sprintf("cluster: %s\naddress: %s\ndata_folder: %s\nplatform_url: http://%s\nreplace_after: 5s\n",
			f.config.Workload.Name, address, f.path(name+"-data"), f.addresses["platform"])
		if err := f.writeSettings(name, settings); err != nil {
			return err
		}
		if err := f.runProgram(f.config.Product, "control", "init", "--config", f.path(name+".yaml"),
			"--replica", fmt.Sprint(number+1), "--members", strings.Join(members, ",")); err != nil {
			return err
		}
		if err := f.startPart(name, f.config.Product, "control", "run", "--config", f.path(name+".yaml")); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) writeSettings(name, settings string) error {
	if err := os.WriteFile(f.path(name+".yaml"), []byte(settings), fileMode); err != nil {
		return ErrStart.Wrap(err, "write settings")
	}
	return nil
}

func (f *Fleet) startServices() error {
	f.forEachEngine(func(name, zone string, group workload.Group) {
		f.engines = append(f.engines, ListedEngine{
			ID: name, Zone: zone, Region: f.config.Workload.Region, Group: group.Name,
			Address: f.addresses[name], Slots: group.Slots,
		})
	})
	if err := f.writeEngineList(); err != nil {
		return err
	}
	if err := f.startPart("platform", f.config.Bench, "platform", "--address", f.addresses["platform"], "--list", f.path("engines.json")); err != nil {
		return err
	}
	if err := f.startPart("weight-store", f.config.Bench, "weight-store", "--address", f.addresses["weight-store"],
		"--loads-per-second", fmt.Sprint(f.config.Workload.LoadsPerSecond)); err != nil {
		return err
	}
	return f.startPart("scorer", f.config.Bench, "scorer", "--address", f.addresses["scorer"])
}

// writeEngineList replaces the platform's engine list atomically.
func (f *Fleet) writeEngineList() error {
	data, err := json.Marshal(f.engines)
	if err != nil {
		panic("fleet: encode engine list: " + err.Error())
	}
	temporary := f.path("engines.json.new")
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return ErrStart.Wrap(err, "write engine list")
	}
	if err := os.Rename(temporary, f.path("engines.json")); err != nil {
		return ErrStart.Wrap(err, "replace engine list")
	}
	return nil
}

func (f *Fleet) recordPath(name string) string {
	return f.path(filepath.Join("records", name+".jsonl"))
}

func (f *Fleet) startEngines() error {
	var failed error
	f.forEachEngine(func(name, _ string, group workload.Group) {
		err := f.startPart(name, f.config.Bench, "engine", "--name", name, "--address", f.addresses[name],
			"--model", group.Model, "--slots", fmt.Sprint(group.Slots), "--step-millis", fmt.Sprint(group.StepMillis),
			"--step-millis-per-stream", fmt.Sprint(group.StepMillisPerStream), "--chunk-tokens", fmt.Sprint(group.ChunkTokens),
			"--swap-millis", fmt.Sprint(group.Swap.Milliseconds()), "--swap-fail-percent", fmt.Sprint(group.SwapFailPercent),
			"--weight-store", "http://"+f.addresses["weight-store"], "--record", f.recordPath(name))
		if err != nil {
			failed = err
		}
	})
	return failed
}

func (f *Fleet) startNodes() error {
	var failed error
	f.forEachNode(func(name, zone string) {
		settings := fmt.Sprintf("id: %s\nzone: %s\nregion: %s\naddress: %s\ncaller_address: %s\ncontrols: [%s]\nscorer_url: http://%s\n",
			name, zone, f.config.Workload.Region, f.addresses[name], f.addresses[name+"-callers"],
			strings.Join(f.controls, ", "), f.addresses["scorer"])
		if err := f.writeSettings(name, settings); err != nil {
			failed = err
			return
		}
		if err := f.startPart(name, f.config.Product, "node", "run", "--config", f.path(name+".yaml")); err != nil {
			failed = err
		}
	})
	return failed
}

// configure applies the declarations, publishes the weights of untrained models, and
// waits until the fleet is ready.
func (f *Fleet) configure(ctx context.Context) error {
	controls := strings.Join(f.controls, ",")
	if err := f.runProgram(f.config.Product, "apply", "--controls", controls, "--timeout", readyTimeout.String(),
		"--author", "fleet", "--commit", "initial", f.config.Workload.Declarations); err != nil {
		return err
	}
	for _, model := range f.config.Workload.UntrainedModels() {
		if err := f.runProgram(f.config.Product, "weights", "publish", "--controls", controls, model, "1"); err != nil {
			return err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	statusClient := client.New(f.controls)
	for {
		status, err := statusClient.GetStatus(readyCtx)
		if err != nil {
			return ErrStart.Wrap(err, "the fleet is not ready")
		}
		if f.ready(status) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
}

func (f *Fleet) ready(status *dillchutev1.GetStatusResponse) bool {
	for _, engine := range status.Engines {
		if engine.Owner == "" {
			return false
		}
	}
	nodes := len(f.config.Workload.Zones) * f.config.Workload.NodesPerZone
	return len(status.Engines) == len(f.engines) && len(status.Nodes) == nodes && len(status.NodesBehind) == 0
}

// startLoad starts the trainers and callers and returns their names.
func (f *Fleet) startLoad() []string {
	var names []string
	for _, trainer := range f.config.Workload.Trainers {
		name := "trainer-" + trainer.Pool
		staleness := uint64(0)
		if pool := f.config.Workload.Pool(trainer.Pool); pool != nil {
			staleness = pool.MaxStalenessVersions
		}
		names = append(names, name)
		f.startOrLog(name, "trainer", "--controls", strings.Join(f.controls, ","), "--pool", trainer.Pool,
			"--model", trainer.Model, "--samples", fmt.Sprint(trainer.Samples), "--max-tokens", fmt.Sprint(trainer.MaxTokens),
			"--steps", fmt.Sprint(trainer.Steps), "--ahead", fmt.Sprint(trainer.Ahead), "--train", trainer.Train.String(),
			"--staleness", fmt.Sprint(staleness), "--record", f.recordPath(name))
	}
	var nodes []string
	f.forEachNode(func(name, _ string) { nodes = append(nodes, f.addresses[name+"-callers"]) })
	for position, caller := range f.config.Workload.Callers {
		name := "callers-" + caller.Pool
		names = append(names, name)
		f.startOrLog(name, "caller", "--nodes", strings.Join(nodes, ","), "--pool", caller.Pool, "--rate", fmt.Sprint(caller.Rate),
			"--peak-factor", fmt.Sprint(caller.PeakFactor), "--peak-every", caller.PeakEvery.String(),
			"--duration", caller.Duration.String(), "--max-tokens", fmt.Sprint(caller.MaxTokens),
			"--timeout", caller.Timeout.String(), "--not-repeatable-percent", fmt.Sprint(caller.NotRepeatablePercent),
			"--seed", fmt.Sprint(position+1), "--record", f.recordPath(name))
	}
	return names
}

func (f *Fleet) startOrLog(name string, arguments ...string) {
	if err := f.startPart(name, f.config.Bench, arguments...); err != nil {
		f.logf("%s: %s", name, err)
	}
}

// waitAll waits until the parts have ended and returns the names of those that failed.
func (f *Fleet) waitAll(ctx context.Context, names []string) []string {
	var failed []string
	for _, name := range names {
		if err := f.parts[name].wait(ctx); err != nil {
			f.logf("%s: %s", name, err)
			failed = append(failed, name)
		}
	}
	return failed
}

// stopAll shuts the parts down gracefully: nodes first, so that they can finish
// their work, then the parts that they depend on.
func (f *Fleet) stopAll() {
	for _, prefix := range []string{"node-", "control-", ""} {
		var stopping []*part
		for _, name := range f.order {
			if strings.HasPrefix(name, prefix) && f.parts[name].running() {
				f.parts[name].terminate()
				stopping = append(stopping, f.parts[name])
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		for _, stoppingPart := range stopping {
			if err := stoppingPart.wait(ctx); err != nil {
				f.logf("%s: shutdown failed: %s", stoppingPart.name, err)
			}
		}
		cancel()
	}
}

func (f *Fleet) killAll() {
	names := append([]string(nil), f.order...)
	sort.Strings(names)
	for _, name := range names {
		f.parts[name].kill()
	}
}
