// Package fleet runs a whole deployment on one machine, each part a process of
// its own, and reports what an oracle makes of the records. It is the only
// place that starts processes.
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
	// ErrStart: a part of the fleet could not be started.
	ErrStart = namespace.NewType("start")
	// ErrViolated: a promise was broken, or the run reached too little.
	ErrViolated = namespace.NewType("violated")
)

// Config says what to run.
type Config struct {
	Workload *workload.Workload
	// Folder takes the fleet's files; it must not exist.
	Folder string
	// Product and Bench are the paths of the two programs.
	Product string
	Bench   string
	// Limit bounds the run.
	Limit time.Duration
	// Faults are what is done to the fleet while it runs.
	Faults []Fault
	Out    io.Writer
}

const (
	loopback   = "127.0.0.1"
	fileMode   = 0o600
	folderMode = 0o700
	// readyLimit bounds how long the fleet may take to be ready.
	readyLimit = 30 * time.Second
	readyPoll  = 50 * time.Millisecond
	// stopLimit bounds how long a part may take to stop when asked to.
	stopLimit = 15 * time.Second
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

// ListedEngine is an engine in the platform's list.
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
// it, and returns the report. It fails with ErrViolated if the oracle found
// anything.
func Run(ctx context.Context, config Config) (*Report, error) {
	f := &Fleet{config: config, parts: map[string]*part{}, addresses: map[string]string{}}
	defer f.kill()
	limited, cancel := context.WithTimeout(ctx, config.Limit)
	defer cancel()
	began := time.Now()
	if err := f.start(limited); err != nil {
		return nil, err
	}
	f.say("ready after %s: %d processes", time.Since(began).Round(time.Millisecond), len(f.parts))
	working := f.startLoad()
	faulting := make(chan struct{})
	go func() {
		defer close(faulting)
		f.injectFaults(limited)
	}()
	failed := f.await(limited, working)
	<-faulting
	f.stopAll()
	report, err := f.report(failed)
	if err != nil {
		return nil, err
	}
	return report, report.err()
}

func (f *Fleet) say(format string, arguments ...any) {
	fmt.Fprintf(f.config.Out, "fleet: "+format+"\n", arguments...)
}

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Folder, name) }

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.path("records"), folderMode); err != nil {
		return ErrStart.Wrap(err, "make folder")
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

// assignAddresses picks free ports for all parts at once.
func (f *Fleet) assignAddresses() error {
	var names []string
	for number := range f.config.Workload.Controls {
		names = append(names, controlName(number))
	}
	names = append(names, "platform", "weight-store", "scorer")
	f.eachEngine(func(name, _ string, _ workload.Group) { names = append(names, name) })
	f.eachNode(func(name, _ string) { names = append(names, name, name+"-callers") })
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for _, name := range names {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return ErrStart.Wrap(err, "find a port")
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

func (f *Fleet) eachEngine(do func(name, zone string, group workload.Group)) {
	for _, group := range f.config.Workload.Groups {
		for number := range group.Engines {
			zone := f.config.Workload.Zones[number%len(f.config.Workload.Zones)]
			do(fmt.Sprintf("%s-%d", group.Name, number+1), zone, group)
		}
	}
}

func (f *Fleet) eachNode(do func(name, zone string)) {
	for _, zone := range f.config.Workload.Zones {
		for number := range f.config.Workload.NodesPerZone {
			do(fmt.Sprintf("node-%s-%d", zone, number+1), zone)
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
		if err := f.runOnce(f.config.Product, "control", "init", "--config", f.path(name+".yaml"),
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
	f.eachEngine(func(name, zone string, group workload.Group) {
		f.engines = append(f.engines, ListedEngine{
			ID: name, Zone: zone, Region: f.config.Workload.Region, Group: group.Name,
			Address: f.addresses[name], Slots: group.Slots,
		})
	})
	if err := f.writeList(); err != nil {
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

// writeList replaces the platform's list at one stroke.
func (f *Fleet) writeList() error {
	data, err := json.Marshal(f.engines)
	if err != nil {
		panic("fleet: the list must encode: " + err.Error())
	}
	temporary := f.path("engines.json.new")
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return ErrStart.Wrap(err, "write list")
	}
	if err := os.Rename(temporary, f.path("engines.json")); err != nil {
		return ErrStart.Wrap(err, "replace list")
	}
	return nil
}

func (f *Fleet) record(name string) string { return f.path(filepath.Join("records", name+".jsonl")) }

func (f *Fleet) startEngines() error {
	var failed error
	f.eachEngine(func(name, _ string, group workload.Group) {
		err := f.startPart(name, f.config.Bench, "engine", "--name", name, "--address", f.addresses[name],
			"--model", group.Model, "--slots", fmt.Sprint(group.Slots), "--step-millis", fmt.Sprint(group.StepMillis),
			"--step-millis-per-stream", fmt.Sprint(group.StepMillisPerStream), "--chunk-tokens", fmt.Sprint(group.ChunkTokens),
			"--swap-millis", fmt.Sprint(group.Swap.Milliseconds()), "--swap-fail-percent", fmt.Sprint(group.SwapFailPercent),
			"--weight-store", "http://"+f.addresses["weight-store"], "--record", f.record(name))
		if err != nil {
			failed = err
		}
	})
	return failed
}

func (f *Fleet) startNodes() error {
	var failed error
	f.eachNode(func(name, zone string) {
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

// configure applies the declarations, publishes what no trainer will, and
// waits until each engine has an owner.
func (f *Fleet) configure(ctx context.Context) error {
	controls := strings.Join(f.controls, ",")
	if err := f.runOnce(f.config.Product, "apply", "--controls", controls, "--timeout", readyLimit.String(),
		"--author", "fleet", "--commit", "initial", f.config.Workload.Declarations); err != nil {
		return err
	}
	for _, model := range f.config.Workload.UntrainedModels() {
		if err := f.runOnce(f.config.Product, "weights", "publish", "--controls", controls, model, "1"); err != nil {
			return err
		}
	}
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	watcher := client.New(f.controls)
	for {
		status, err := watcher.GetStatus(limited)
		if err != nil {
			return ErrStart.Wrap(err, "the fleet is not ready")
		}
		if f.ready(status) {
			return nil
		}
		time.Sleep(readyPoll)
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

// startLoad starts trainers and callers and returns their names.
func (f *Fleet) startLoad() []string {
	var working []string
	for _, trainer := range f.config.Workload.Trainers {
		name := "trainer-" + trainer.Pool
		staleness := uint64(0)
		if pool := f.config.Workload.Pool(trainer.Pool); pool != nil {
			staleness = pool.MaxStalenessVersions
		}
		working = append(working, name)
		f.mustStart(name, "trainer", "--controls", strings.Join(f.controls, ","), "--pool", trainer.Pool,
			"--model", trainer.Model, "--samples", fmt.Sprint(trainer.Samples), "--max-tokens", fmt.Sprint(trainer.MaxTokens),
			"--steps", fmt.Sprint(trainer.Steps), "--ahead", fmt.Sprint(trainer.Ahead), "--train", trainer.Train.String(),
			"--staleness", fmt.Sprint(staleness), "--record", f.record(name))
	}
	var nodes []string
	f.eachNode(func(name, _ string) { nodes = append(nodes, f.addresses[name+"-callers"]) })
	for position, caller := range f.config.Workload.Callers {
		name := "callers-" + caller.Pool
		working = append(working, name)
		f.mustStart(name, "caller", "--nodes", strings.Join(nodes, ","), "--pool", caller.Pool, "--rate", fmt.Sprint(caller.Rate),
			"--peak-factor", fmt.Sprint(caller.PeakFactor), "--peak-every", caller.PeakEvery.String(),
			"--duration", caller.Duration.String(), "--max-tokens", fmt.Sprint(caller.MaxTokens),
			"--timeout", caller.Timeout.String(), "--not-repeatable-percent", fmt.Sprint(caller.NotRepeatablePercent),
			"--seed", fmt.Sprint(position+1), "--record", f.record(name))
	}
	return working
}

func (f *Fleet) mustStart(name string, arguments ...string) {
	if err := f.startPart(name, f.config.Bench, arguments...); err != nil {
		f.say("%s: %s", name, err)
	}
}

// await waits until the parts have ended and returns those that failed.
func (f *Fleet) await(ctx context.Context, names []string) []string {
	var failed []string
	for _, name := range names {
		if err := f.parts[name].wait(ctx); err != nil {
			f.say("%s: %s", name, err)
			failed = append(failed, name)
		}
	}
	return failed
}

// stopAll stops the parts as an operator would: nodes first, so that they can
// still end their work, then what they depend on.
func (f *Fleet) stopAll() {
	for _, prefix := range []string{"node-", "control-", ""} {
		var stopping []*part
		for _, name := range f.order {
			if strings.HasPrefix(name, prefix) && f.parts[name].running() {
				f.parts[name].terminate()
				stopping = append(stopping, f.parts[name])
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		for _, stopping := range stopping {
			if err := stopping.wait(ctx); err != nil {
				f.say("%s stopped badly: %s", stopping.name, err)
			}
		}
		cancel()
	}
}

func (f *Fleet) kill() {
	names := append([]string(nil), f.order...)
	sort.Strings(names)
	for _, name := range names {
		f.parts[name].kill()
	}
}
