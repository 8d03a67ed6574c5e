package simulate

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/bench/workload"
	"github.com/dillchute/dillchute/config"
)

// Scenario describes a deployment, its load and the faults to inject.
type Scenario struct {
	Name     string   `yaml:"name"`
	Topology Topology `yaml:"topology"`
	Load     Load     `yaml:"load"`
	// Faults are injected at random times between FaultsFrom and FaultsUntil, each Repeat times.
	Faults []FaultKind `yaml:"faults"`
	Repeat int         `yaml:"repeat"`
	// Timeline lists faults to inject at fixed times.
	Timeline     []TimedFault `yaml:"timeline"`
	FaultsFrom   int64        `yaml:"faults_from_milliseconds"`
	FaultsUntil  int64        `yaml:"faults_until_milliseconds"`
	MinDuration  int64        `yaml:"fault_min_milliseconds"`
	MaxDuration  int64        `yaml:"fault_max_milliseconds"`
	RecoverLimit int64        `yaml:"recover_limit_milliseconds"`
	// SteadyClocks makes the processes' monotonic clocks skip suspensions. This simulates a bug in
	// the product, which the checks must detect.
	SteadyClocks bool `yaml:"steady_clocks"`
	// NoUnknown requires that no live request ends as unknown, as when all faults are graceful.
	NoUnknown bool `yaml:"no_unknown"`
	// Promises lists the promises that the scenario is meant to test.
	Promises []oracle.Promise `yaml:"promises"`
}

// TimedFault is a fault at a fixed time.
type TimedFault struct {
	At       int64     `yaml:"at_milliseconds"`
	Kind     FaultKind `yaml:"kind"`
	Duration int64     `yaml:"duration_milliseconds"`
}

func baseScenario(name string, promises []oracle.Promise, repeat int, faults ...FaultKind) Scenario {
	return Scenario{
		Name: name, Faults: faults, Repeat: repeat, Promises: promises,
		Topology: Topology{
			Zones: []string{"region/a", "region/b", "region/c"}, Controls: 3, NodesPerZone: 1,
			SampleEngines: 4, LiveEngines: 3, Slots: 8,
		},
		Load: Load{
			Steps: 4, Samples: 32, MaxTokens: 200, TrainMillis: 1500, Staleness: 1, Policy: "continue",
			LiveRequests: 40, LivePause: 500, NotRepeatable: 50, Operators: 2, Changes: 8, ChangePause: 3000,
			LiveDisconnected: "serve_live", EnginesReport: true,
		},
		FaultsFrom: 3000, FaultsUntil: 25_000, MinDuration: 200, MaxDuration: 8000, RecoverLimit: 90_000,
	}
}

// Scenarios returns the built-in scenarios.
func Scenarios() []Scenario {
	all := []oracle.Promise{
		oracle.ExactVersions, oracle.StalenessBound, oracle.ExactlyOnce, oracle.CompleteAnswers, oracle.NotRun,
		oracle.AtMostOnce, oracle.NoWorkWhileLeaving, oracle.ConfigurationInForce,
	}
	graceful := baseScenario("planned-stops", []oracle.Promise{oracle.GracefulStop, oracle.NotRun, oracle.NoWorkWhileLeaving}, 4, StopNode, LeaveEngine)
	graceful.NoUnknown = true
	finish := baseScenario("swap-failures-finish", []oracle.Promise{oracle.ExactVersions, oracle.StalenessBound}, 3, FailSwaps, KillEngine)
	finish.Load.Policy, finish.Load.Staleness = "finish", 0
	restart := baseScenario("swap-failures-restart", []oracle.Promise{oracle.ExactVersions, oracle.StalenessBound}, 3, FailSwaps, KillEngine, FreezeEngine)
	restart.Load.Policy = "restart"
	twoRegions := baseScenario("everything-two-regions", all, 2, KillLeader, FreezeLeader, CutZone, CutOneWay, Noise, KillNode, FreezeNode, KillEngine, FailSwaps, LeaveEngine, KillTrainer)
	twoRegions.Topology.Zones = []string{"west/a", "west/b", "east/c", "east/d"}
	twoRegions.Topology.Controls, twoRegions.Topology.SampleEngines, twoRegions.Topology.LiveEngines = 5, 6, 4
	leaving := baseScenario("leaving-engines", []oracle.Promise{oracle.NoWorkWhileLeaving}, 5, LeaveEngine, KillLeader)
	leaving.Load.LiveDisconnected, leaving.Load.EnginesReport = "refuse", false
	races := baseScenario("operator-races", []oracle.Promise{oracle.ConfigurationInForce}, 3, KillLeader, Noise, KillNode)
	races.Load.Operators, races.Load.Changes, races.Load.ChangePause = 4, 40, 600
	return []Scenario{
		baseScenario("calm", all, 0),
		graceful,
		baseScenario("control-crashes", []oracle.Promise{oracle.ExactlyOnce, oracle.ConfigurationInForce, oracle.AtMostOnce}, 4, KillControl, KillLeader),
		baseScenario("control-freezes", []oracle.Promise{oracle.ExactlyOnce, oracle.ConfigurationInForce, oracle.AtMostOnce}, 4, FreezeLeader, CutLeader),
		baseScenario("suspensions", []oracle.Promise{oracle.ExactlyOnce, oracle.ConfigurationInForce, oracle.AtMostOnce, oracle.NoWorkWhileLeaving}, 4, SuspendLeader, SuspendNode),
		baseScenario("power-losses", []oracle.Promise{oracle.ExactlyOnce, oracle.ConfigurationInForce, oracle.AtMostOnce, oracle.NotRun}, 2, LosePower),
		baseScenario("disk-losses", []oracle.Promise{oracle.ExactlyOnce, oracle.ConfigurationInForce, oracle.AtMostOnce}, 2, LoseDisk, LoseTwoDisks),
		baseScenario("network-cuts", []oracle.Promise{oracle.ExactlyOnce, oracle.CompleteAnswers, oracle.NotRun, oracle.ConfigurationInForce}, 3, CutZone, CutOneWay),
		baseScenario("network-noise", []oracle.Promise{oracle.ExactlyOnce, oracle.CompleteAnswers, oracle.AtMostOnce, oracle.NotRun}, 3, Noise),
		baseScenario("node-crashes", []oracle.Promise{oracle.ExactlyOnce, oracle.AtMostOnce, oracle.NotRun, oracle.ConfigurationInForce}, 4, KillNode, FreezeNode, StopNode),
		baseScenario("engine-crashes", []oracle.Promise{oracle.ExactVersions, oracle.CompleteAnswers, oracle.AtMostOnce}, 5, KillEngine, FreezeEngine, FailSwaps),
		finish,
		restart,
		leaving,
		baseScenario("trainer-crashes", []oracle.Promise{oracle.ExactlyOnce, oracle.StalenessBound}, 4, KillTrainer, KillLeader),
		races,
		baseScenario("everything", all, 2, KillControl, KillLeader, FreezeLeader, LoseDisk, CutZone, CutOneWay, CutLeader, Noise,
			KillNode, FreezeNode, StopNode, KillEngine, FreezeEngine, FailSwaps, LeaveEngine, KillTrainer),
		twoRegions,
	}
}

// LoadScenario reads and validates a scenario file. Omitted values are those of BaseScenario.
func LoadScenario(path string) (Scenario, error) {
	scenario := BaseScenario("")
	data, err := os.ReadFile(path)
	if err != nil {
		return scenario, workload.ErrInvalid.Wrap(err, "read scenario")
	}
	if err := config.DecodeStrict(data, &scenario); err != nil {
		return scenario, workload.ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := scenario.Validate(); err != nil {
		return scenario, workload.ErrInvalid.New("%s: %s", path, err)
	}
	return scenario, nil
}

// BaseScenario returns a scenario without faults and with the default values of the built-in ones.
func BaseScenario(name string) Scenario { return baseScenario(name, nil, 0) }

// Validate returns an ErrInvalid error that describes the first invalid value, if any.
func (s Scenario) Validate() error {
	if problem := s.validationProblem(); problem != "" {
		return workload.ErrInvalid.New("%s", problem)
	}
	return nil
}

var faultKinds = []FaultKind{
	KillControl, KillLeader, FreezeLeader, SuspendLeader, SuspendNode, LosePower, LoseDisk, LoseTwoDisks, CutZone, CutOneWay, CutLeader, Noise,
	KillNode, FreezeNode, StopNode, KillEngine, FreezeEngine, FailSwaps, LeaveEngine, KillTrainer,
}

func isKnownKind(kind FaultKind) bool {
	for _, known := range faultKinds {
		if kind == known {
			return true
		}
	}
	return false
}

func (s Scenario) validationProblem() string {
	for _, kind := range s.Faults {
		if !isKnownKind(kind) {
			return "faults: unknown kind " + string(kind)
		}
	}
	for _, timed := range s.Timeline {
		if !isKnownKind(timed.Kind) {
			return "timeline: unknown kind " + string(timed.Kind)
		}
	}
	t, l := s.Topology, s.Load
	switch {
	case s.Name == "":
		return "name: must not be empty"
	case len(t.Zones) == 0 || t.Controls < 1 || t.NodesPerZone < 1 || t.SampleEngines < 1 || t.LiveEngines < 1 || t.Slots < 2:
		return "topology: zones, controls, nodes_per_zone, sample_engines and live_engines must be at least 1, slots at least 2"
	case weightPolicies[l.Policy] == 0:
		return "load.weight_policy: must be finish, continue or restart"
	case disconnectedPolicies[l.LiveDisconnected] == 0:
		return "load.live_disconnected: must be refuse or serve_live"
	case l.Steps < 1 || l.Samples < 1 || l.MaxTokens < 1 || l.LivePause < 1 || l.ChangePause < 2:
		return "load: steps, samples, max_tokens and pauses must be positive"
	case s.FaultsUntil < s.FaultsFrom || s.MaxDuration < s.MinDuration || s.RecoverLimit < 1:
		return "fault times and durations must be in ascending order, and recover_limit_milliseconds positive"
	}
	return ""
}
