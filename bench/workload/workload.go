// Package workload describes a deployment under load: zones, engines, trainers
// and callers.
package workload

import (
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/declaration"
	"github.com/dillchute/dillchute/state"
)

var (
	namespace = errorx.NewNamespace("workload")
	// ErrInvalid reports a workload file that cannot be read or is invalid.
	ErrInvalid = namespace.NewType("invalid")
)

// Workload describes a deployment and its load.
type Workload struct {
	Name   string   `yaml:"name"`
	Region string   `yaml:"region"`
	Zones  []string `yaml:"zones"`
	// ZoneLatency and CallerLatency are the one-way latencies between zones and to
	// callers. Only the simulator applies them.
	ZoneLatency   time.Duration `yaml:"zone_latency"`
	CallerLatency time.Duration `yaml:"caller_latency"`
	Controls      int           `yaml:"controls"`
	NodesPerZone  int           `yaml:"nodes_per_zone"`
	// LoadsPerSecond is the weight store's total rate.
	LoadsPerSecond float64   `yaml:"loads_per_second"`
	Groups         []Group   `yaml:"groups"`
	Trainers       []Trainer `yaml:"trainers"`
	Callers        []Caller  `yaml:"callers"`
	// Declarations is the folder with the pool declarations, relative to the workload file.
	Declarations string `yaml:"declarations"`

	// Pools are read from Declarations.
	Pools []state.PoolSpec `yaml:"-"`
}

// Group is a group of identical engines, distributed over the zones.
type Group struct {
	Name                string        `yaml:"name"`
	Model               string        `yaml:"model"`
	Engines             int           `yaml:"engines"`
	Slots               int           `yaml:"slots"`
	StepMillis          float64       `yaml:"step_milliseconds"`
	StepMillisPerStream float64       `yaml:"step_milliseconds_per_stream"`
	ChunkTokens         int           `yaml:"chunk_tokens"`
	Swap                time.Duration `yaml:"swap"`
	SwapFailPercent     int           `yaml:"swap_fail_percent"`
}

// Trainer describes the trainer of one pool.
type Trainer struct {
	Pool      string        `yaml:"pool"`
	Model     string        `yaml:"model"`
	Samples   int           `yaml:"samples"`
	MaxTokens uint32        `yaml:"max_tokens"`
	Steps     uint64        `yaml:"steps"`
	Ahead     uint64        `yaml:"ahead"`
	Train     time.Duration `yaml:"train"`
}

// Caller describes the live callers of one pool.
type Caller struct {
	Pool                 string        `yaml:"pool"`
	Rate                 float64       `yaml:"rate"`
	PeakFactor           float64       `yaml:"peak_factor"`
	PeakEvery            time.Duration `yaml:"peak_every"`
	Duration             time.Duration `yaml:"duration"`
	MaxTokens            uint32        `yaml:"max_tokens"`
	Timeout              time.Duration `yaml:"timeout"`
	NotRepeatablePercent int           `yaml:"not_repeatable_percent"`
}

// Load reads and checks a workload file and its declarations.
func Load(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read workload")
	}
	loaded := &Workload{}
	if err := config.DecodeStrict(data, loaded); err != nil {
		return nil, ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if loaded.Name == "" || loaded.Region == "" || len(loaded.Zones) == 0 || loaded.Controls < 1 || loaded.NodesPerZone < 1 || len(loaded.Groups) == 0 {
		return nil, ErrInvalid.New("%s: name, region, zones, controls, nodes_per_zone and groups must be set", path)
	}
	loaded.Declarations = filepath.Join(filepath.Dir(path), loaded.Declarations)
	loaded.Pools, err = declaration.Load(loaded.Declarations)
	return loaded, err
}

// Pool returns the declared pool with the name, or nil.
func (w *Workload) Pool(name string) *state.PoolSpec {
	for position := range w.Pools {
		if w.Pools[position].Name == name {
			return &w.Pools[position]
		}
	}
	return nil
}

// UntrainedModels returns the models that no trainer publishes.
func (w *Workload) UntrainedModels() []string {
	trained := map[string]bool{}
	for _, trainer := range w.Trainers {
		trained[trainer.Model] = true
	}
	var models []string
	for _, group := range w.Groups {
		if !trained[group.Model] {
			trained[group.Model] = true
			models = append(models, group.Model)
		}
	}
	return models
}
