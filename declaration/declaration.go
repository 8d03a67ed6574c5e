// Package declaration reads pool declarations from the YAML files of a folder and
// converts pools to and from protobuf messages.
package declaration

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/joomcode/errorx"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/state"
)

var (
	namespace = errorx.NewNamespace("declaration")
	// ErrInvalid: a file cannot be read or is invalid.
	ErrInvalid = namespace.NewType("invalid")
)

// file is the content of a declaration file.
type file struct {
	Pools []pool `yaml:"pools"`
}

// pool is a pool in a declaration file.
type pool struct {
	Name                 string        `yaml:"name"`
	Model                string        `yaml:"model"`
	EngineGroup          string        `yaml:"engine_group"`
	WeightPolicy         string        `yaml:"weight_policy"`
	MaxStalenessVersions uint64        `yaml:"max_staleness_versions"`
	MaxStaleness         time.Duration `yaml:"max_staleness"`
	SamplePriority       uint8         `yaml:"sample_priority"`
	LivePriority         uint8         `yaml:"live_priority"`
	MaxQueuedRequests    int           `yaml:"max_queued_requests"`
	MaxQueuedTokens      int           `yaml:"max_queued_tokens"`
	RetryPercent         int           `yaml:"retry_percent"`
	MaxSwappingPercent   int           `yaml:"max_swapping_percent"`
	Disconnected         string        `yaml:"disconnected"`
}

func defaultPool() pool {
	return pool{
		WeightPolicy: "finish", SamplePriority: 2, LivePriority: 7, MaxQueuedRequests: 256,
		MaxQueuedTokens: 1 << 20, RetryPercent: 10, MaxSwappingPercent: 34, Disconnected: "refuse",
	}
}

// UnmarshalYAML decodes a pool; fields that are not set have default values.
func (p *pool) UnmarshalYAML(node ast.Node) error {
	type plain pool
	defaults := plain(defaultPool())
	if err := config.DecodeNode(node, &defaults); err != nil {
		return err
	}
	*p = pool(defaults)
	return nil
}

var policyNames = map[string]state.WeightPolicy{
	"finish": state.FinishRunning, "continue": state.ContinueRunning, "restart": state.RestartRunning,
}

var disconnectedNames = map[string]state.DisconnectedPolicy{
	"refuse": state.RefuseDisconnected, "serve_live": state.ServeLiveDisconnected,
}

func (p pool) spec() state.PoolSpec {
	return state.PoolSpec{
		Name: p.Name, Model: p.Model, EngineGroup: p.EngineGroup, Policy: policyNames[p.WeightPolicy],
		MaxStalenessVersions: p.MaxStalenessVersions, MaxStalenessMillis: p.MaxStaleness.Milliseconds(),
		SamplePriority: p.SamplePriority, LivePriority: p.LivePriority,
		MaxQueuedRequests: p.MaxQueuedRequests, MaxQueuedTokens: p.MaxQueuedTokens,
		RetryPercent: p.RetryPercent, MaxSwappingPercent: p.MaxSwappingPercent,
		Disconnected: disconnectedNames[p.Disconnected],
	}
}

// Load reads and validates all .yaml and .yml files of the folder, sorted by name.
// An ErrInvalid error names the file and the line or the field path.
func Load(folder string) ([]state.PoolSpec, error) {
	names, err := fileNames(folder)
	if err != nil {
		return nil, err
	}
	var pools []state.PoolSpec
	var problems []string
	declaredIn := map[string]string{}
	for _, name := range names {
		declared, err := loadFile(filepath.Join(folder, name))
		if err != nil {
			return nil, err
		}
		for _, problem := range state.ValidatePools(declared) {
			problems = append(problems, name+": "+problem.String())
		}
		for position, pool := range declared {
			if first, ok := declaredIn[pool.Name]; ok && first != name {
				problems = append(problems, fmt.Sprintf("%s: pools[%d].name: %q is also declared in %s", name, position, pool.Name, first))
			}
			declaredIn[pool.Name] = name
		}
		pools = append(pools, declared...)
	}
	if len(problems) == 0 {
		// Conflicts between pools of different files are reported for the folder.
		for _, problem := range state.ValidatePools(pools) {
			problems = append(problems, folder+": "+problem.String())
		}
	}
	if len(problems) > 0 {
		return nil, ErrInvalid.New("%s", strings.Join(problems, "\n"))
	}
	return pools, nil
}

func fileNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read declaration folder")
	}
	var names []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, entry.Name())
		}
	}
	if len(names) == 0 {
		return nil, ErrInvalid.New("%s holds no .yaml file", folder)
	}
	sort.Strings(names)
	return names, nil
}

func loadFile(path string) ([]state.PoolSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read declaration file")
	}
	pools, err := Parse(data)
	if err != nil {
		return nil, ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return pools, nil
}

// Parse decodes the content of one file without validating the values.
func Parse(data []byte) ([]state.PoolSpec, error) {
	var decoded file
	if err := config.DecodeStrict(data, &decoded); err != nil {
		return nil, err
	}
	specs := make([]state.PoolSpec, 0, len(decoded.Pools))
	for _, declared := range decoded.Pools {
		specs = append(specs, declared.spec())
	}
	return specs, nil
}

// ToProto converts a pool to its protobuf message.
func ToProto(spec state.PoolSpec) *dillchutev1.PoolSpec {
	return &dillchutev1.PoolSpec{
		Name: spec.Name, Model: spec.Model, EngineGroup: spec.EngineGroup,
		WeightPolicy:         dillchutev1.WeightPolicy(spec.Policy),
		MaxStalenessVersions: spec.MaxStalenessVersions, MaxStalenessMilliseconds: uint64(spec.MaxStalenessMillis),
		SamplePriority: uint32(spec.SamplePriority), LivePriority: uint32(spec.LivePriority),
		MaxQueuedRequests: uint32(spec.MaxQueuedRequests), MaxQueuedTokens: uint64(spec.MaxQueuedTokens),
		RetryPercent: uint32(spec.RetryPercent), MaxSwappingPercent: uint32(spec.MaxSwappingPercent),
		Disconnected: dillchutev1.DisconnectedPolicy(spec.Disconnected),
	}
}

// maxByte caps protobuf numbers before they are narrowed to 8 bits, so that invalid
// values stay invalid.
const maxByte = 255

// FromProto converts a pool from its protobuf message.
func FromProto(spec *dillchutev1.PoolSpec) state.PoolSpec {
	return state.PoolSpec{
		Name: spec.GetName(), Model: spec.GetModel(), EngineGroup: spec.GetEngineGroup(),
		Policy:               state.WeightPolicy(min(spec.GetWeightPolicy(), maxByte)),
		MaxStalenessVersions: spec.GetMaxStalenessVersions(), MaxStalenessMillis: int64(spec.GetMaxStalenessMilliseconds()),
		SamplePriority:    uint8(min(spec.GetSamplePriority(), maxByte)),
		LivePriority:      uint8(min(spec.GetLivePriority(), maxByte)),
		MaxQueuedRequests: int(spec.GetMaxQueuedRequests()), MaxQueuedTokens: int(spec.GetMaxQueuedTokens()),
		RetryPercent: int(spec.GetRetryPercent()), MaxSwappingPercent: int(spec.GetMaxSwappingPercent()),
		Disconnected: state.DisconnectedPolicy(min(spec.GetDisconnected(), maxByte)),
	}
}
