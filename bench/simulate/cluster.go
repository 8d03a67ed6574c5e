package simulate

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/dillchute/dillchute/bench/model"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Topology lists the processes of a simulated deployment.
type Topology struct {
	// Zones are named REGION/ZONE.
	Zones        []string `yaml:"zones"`
	Controls     int      `yaml:"controls"`
	NodesPerZone int      `yaml:"nodes_per_zone"`
	// SampleEngines serve the pool that is trained, LiveEngines the pool of live requests.
	SampleEngines int `yaml:"sample_engines"`
	LiveEngines   int `yaml:"live_engines"`
	Slots         int `yaml:"slots"`
}

// Load is the workload of a simulated deployment.
type Load struct {
	Steps         uint64 `yaml:"steps"`
	Samples       uint32 `yaml:"samples"`
	MaxTokens     uint32 `yaml:"max_tokens"`
	TrainMillis   int64  `yaml:"train_milliseconds"`
	Staleness     uint64 `yaml:"max_staleness_versions"`
	Policy        string `yaml:"weight_policy"`
	LiveRequests  int    `yaml:"live_requests"`
	LivePause     int64  `yaml:"live_pause_milliseconds"`
	NotRepeatable int    `yaml:"not_repeatable_percent"`
	// LiveDisconnected is the policy of nodes without a lease for the live pool: refuse or serve_live.
	LiveDisconnected string `yaml:"live_disconnected"`
	// EnginesReport makes leaving engines report it themselves; otherwise only the platform's list
	// shows it.
	EnginesReport bool  `yaml:"engines_report_leaving"`
	Operators     int   `yaml:"operators"`
	Changes       int   `yaml:"changes"`
	ChangePause   int64 `yaml:"change_pause_milliseconds"`
}

const (
	samplePool  = "samples"
	livePool    = "live"
	sampleGroup = "sample-engines"
	liveGroup   = "live-engines"
	sampleModel = "trained"
	liveModel   = "fixed"
)

// cluster holds the processes, configuration and observations of a simulated deployment.
type cluster struct {
	world             *World
	topology          Topology
	load              Load
	pools             []state.PoolSpec
	controls          []*controlProcess
	nodes             []*nodeProcess
	engines           []*engineProcess
	engineByName      map[string]*engineProcess
	receiverByAddress map[string]func(protocol.Message)
	processes         map[string]*process
	platform          *process
	listedEngines     []state.Engine
	trainer           *trainerProcess
	callers           []*callerProcess
	operators         []*operatorProcess
	lastReplicaID     consensus.ReplicaID
	weightStoreFreeAt int64
	violations        []oracle.Violation
	// operations are the operators' calls, for the linearizability check.
	operations []porcupine.Operation
	timings    map[Timing][]int64
}

var weightPolicies = map[string]state.WeightPolicy{
	"finish": state.FinishRunning, "continue": state.ContinueRunning, "restart": state.RestartRunning,
}

var disconnectedPolicies = map[string]state.DisconnectedPolicy{
	"refuse": state.RefuseDisconnected, "serve_live": state.ServeLiveDisconnected,
}

func newCluster(world *World, topology Topology, load Load) *cluster {
	cl := &cluster{
		timings: map[Timing][]int64{},
		world:   world, topology: topology, load: load, engineByName: map[string]*engineProcess{},
		receiverByAddress: map[string]func(protocol.Message){}, processes: map[string]*process{},
	}
	cl.pools = []state.PoolSpec{
		cl.poolSpec(samplePool, sampleModel, sampleGroup, weightPolicies[load.Policy], state.RefuseDisconnected),
		cl.poolSpec(livePool, liveModel, liveGroup, state.FinishRunning, disconnectedPolicies[load.LiveDisconnected]),
	}
	cl.platform = cl.addProcess(world.newProcess("platform", topology.Zones[0]))
	cl.addControls()
	cl.addNodes()
	cl.addEngines(sampleGroup, sampleModel, topology.SampleEngines)
	cl.addEngines(liveGroup, liveModel, topology.LiveEngines)
	cl.addClients()
	return cl
}

func (cl *cluster) poolSpec(name, model, group string, policy state.WeightPolicy, disconnectedPolicy state.DisconnectedPolicy) state.PoolSpec {
	return state.PoolSpec{
		Name: name, Model: model, EngineGroup: group, Policy: policy, MaxStalenessVersions: cl.load.Staleness,
		SamplePriority: 2, LivePriority: 7, MaxQueuedRequests: 64, MaxQueuedTokens: 100_000, RetryPercent: 30,
		MaxSwappingPercent: 50, Disconnected: disconnectedPolicy,
	}
}

func (cl *cluster) addProcess(p *process) *process {
	cl.processes[p.name] = p
	return p
}

func (cl *cluster) zone(i int) string { return cl.topology.Zones[i%len(cl.topology.Zones)] }

func (cl *cluster) region(zone string) string {
	region, _, _ := strings.Cut(zone, "/")
	return region
}

func (cl *cluster) addControls() {
	var membership consensus.Membership
	for i := range cl.topology.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		replica := &controlProcess{process: cl.addProcess(cl.world.newProcess(name, cl.zone(i))), cluster: cl}
		cl.controls = append(cl.controls, replica)
		cl.receiverByAddress[name] = replica.receive
		cl.lastReplicaID++
		membership.Members = append(membership.Members, consensus.Member{ID: cl.lastReplicaID, Address: name, Voter: true})
	}
	for i, replica := range cl.controls {
		initial := consensus.Snapshot{Index: 1, Term: 1, Membership: membership}
		replica.disk = &disk{
			replicaID: consensus.ReplicaID(i + 1), snapshot: initial,
			hardState: consensus.HardState{Term: 1, Commit: 1},
		}
	}
}

func (cl *cluster) addNodes() {
	for _, zone := range cl.topology.Zones {
		for i := range cl.topology.NodesPerZone {
			name := fmt.Sprintf("node-%s-%d", zone, i+1)
			added := &nodeProcess{process: cl.addProcess(cl.world.newProcess(name, zone)), cluster: cl}
			cl.nodes = append(cl.nodes, added)
			cl.receiverByAddress[name] = added.receive
		}
	}
}

func (cl *cluster) addEngines(group, modelName string, count int) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", group, i+1)
		added := &engineProcess{
			process: cl.addProcess(cl.world.newProcess(name, cl.zone(i))), cluster: cl, group: group,
			config: model.Config{
				Name: name, Model: modelName, Slots: cl.topology.Slots, StepMillis: 10, StepMillisPerStream: 0.5,
				ChunkTokens: 8, SwapMillis: 200,
			},
		}
		cl.engines = append(cl.engines, added)
		cl.engineByName[name] = added
		cl.listedEngines = append(cl.listedEngines, state.Engine{
			ID: name, Zone: added.zone, Region: cl.region(added.zone), Group: group, Address: name, Slots: cl.topology.Slots,
		})
	}
}

func (cl *cluster) newClient(name string, zone int) clientProcess {
	return clientProcess{process: cl.addProcess(cl.world.newProcess(name, cl.zone(zone))), cluster: cl}
}

func (cl *cluster) addClients() {
	cl.trainer = &trainerProcess{
		clientProcess: cl.newClient("trainer", 0), pool: samplePool, model: sampleModel, maxStaleness: cl.load.Staleness,
		samples: cl.load.Samples, maxTokens: cl.load.MaxTokens, steps: cl.load.Steps, trainMillis: cl.load.TrainMillis,
		received: map[uint64]uint32{},
	}
	for i, pool := range []string{samplePool, livePool} {
		cl.callers = append(cl.callers, &callerProcess{
			process: cl.addProcess(cl.world.newProcess("caller-"+pool, cl.zone(i))), cluster: cl, pool: pool,
			remaining: cl.load.LiveRequests, pauseMillis: cl.load.LivePause, notRepeatablePercent: cl.load.NotRepeatable,
		})
	}
	for i := range cl.load.Operators {
		cl.operators = append(cl.operators, &operatorProcess{
			clientProcess: cl.newClient(fmt.Sprintf("operator-%d", i+1), i), remaining: cl.load.Changes,
			maxPauseMillis: cl.load.ChangePause, queueLimitOffset: i * 1000, clientID: i,
		})
	}
}

// start starts the control replicas, nodes and engines and declares the pools. The trainer, the
// callers and the operators start once the pools are declared.
func (cl *cluster) start() {
	for _, pool := range cl.pools {
		cl.world.record(oracle.Event{Pool: &oracle.Pool{
			Name: pool.Name, Model: pool.Model, MaxStalenessVersions: pool.MaxStalenessVersions,
		}})
	}
	cl.platform.markStarted()
	for _, replica := range cl.controls {
		replica.start()
	}
	for _, target := range cl.nodes {
		target.start()
	}
	for _, target := range cl.engines {
		target.start()
	}
	declarer := cl.newClient("declarer", 0)
	declarer.markStarted()
	apply := state.Command{Apply: &state.Apply{ChangeID: "initial", Author: "declarer", Pools: cl.pools}}
	publish := state.Command{PublishVersion: &state.PublishVersion{Model: liveModel, Version: 1}}
	declarer.request(proposal(apply), func(reply control.Reply) {
		cl.operations = append(cl.operations, porcupine.Operation{
			ClientId: len(cl.operators), Input: declarationCall{}, Return: cl.world.now,
			Output: declarationResult{outcome: reply.Result.Apply.Outcome, revision: reply.Result.Apply.Revision},
		})
		declarer.request(proposal(publish), func(control.Reply) { cl.startClients() })
	})
}

func (cl *cluster) startClients() {
	cl.trainer.start()
	for _, caller := range cl.callers {
		caller.start()
	}
	for _, operator := range cl.operators {
		operator.start()
	}
}

// finished reports whether all work is done.
func (cl *cluster) finished() bool {
	if !cl.trainer.finished {
		return false
	}
	for _, caller := range cl.callers {
		if caller.remaining > 0 || caller.pending > 0 {
			return false
		}
	}
	for _, operator := range cl.operators {
		if operator.remaining > 0 || operator.onDone != nil {
			return false
		}
	}
	return true
}

func (cl *cluster) controlAddresses() []string {
	addresses := make([]string, 0, len(cl.controls))
	for _, replica := range cl.controls {
		addresses = append(addresses, replica.address)
	}
	return addresses
}

// sendMessage sends a message to the control replica or node at the address.
func (cl *cluster) sendMessage(from *process, address string, message protocol.Message) {
	to, receive := cl.processes[address], cl.receiverByAddress[address]
	if to == nil || receive == nil {
		return
	}
	cl.world.sendDatagram(from, to, func() { receive(message) })
}

func (cl *cluster) addViolation(promise oracle.Promise, format string, arguments ...any) {
	cl.violations = append(cl.violations, oracle.Violation{
		Promise: promise, At: cl.world.now, Detail: fmt.Sprintf(format, arguments...),
	})
	cl.world.tracef("VIOLATION %s: "+format, append([]any{promise}, arguments...)...)
}

// inForceLimitMillis is the time within which an accepted change must be applied on every node
// that holds a lease.
const inForceLimitMillis = 4000

// scheduleInForceCheck schedules a check, after inForceLimitMillis, that no node with a lease still
// uses an earlier revision. It also measures InForceTime.
func (cl *cluster) scheduleInForceCheck(revision uint64) {
	cl.measureInForce(revision)
	cl.world.schedule(inForceLimitMillis, func() {
		for _, target := range cl.nodes {
			if !target.alive || target.frozen {
				continue
			}
			target.core.Tick(target.monotonicClock())
			if target.core.HasLease() && target.core.Revision() < revision {
				cl.addViolation(oracle.ConfigurationInForce, "%s uses revision %d; revision %d was accepted %d ms ago",
					target.name, target.core.Revision(), revision, inForceLimitMillis)
			}
			target.flush()
		}
	})
}
