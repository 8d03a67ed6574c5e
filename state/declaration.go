package state

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sort"
)

const (
	// maxHistory limits the number of accepted changes kept in History.
	maxHistory = 256
	// maxOutcomes limits the number of change IDs whose outcome is kept.
	maxOutcomes = 8192
)

// Apply replaces the declared pools if Base is the current declaration's revision.
type Apply struct {
	ChangeID     string     `cbor:"1,keyasint"`
	Base         uint64     `cbor:"2,keyasint"`
	SourceCommit string     `cbor:"3,keyasint"`
	Author       string     `cbor:"4,keyasint"`
	Pools        []PoolSpec `cbor:"5,keyasint"`
}

// ApplyOutcome is the outcome of an Apply.
type ApplyOutcome uint8

// The outcomes of an Apply.
const (
	ApplyAccepted ApplyOutcome = iota + 1
	ApplyUnchanged
	ApplyConflict
	ApplyIdentityReused
)

// Change is an accepted declaration.
type Change struct {
	Revision     uint64 `cbor:"1,keyasint"`
	ChangeID     string `cbor:"2,keyasint"`
	SourceCommit string `cbor:"3,keyasint"`
	Author       string `cbor:"4,keyasint"`
	AcceptedAt   int64  `cbor:"5,keyasint"`
}

// ApplyResult holds the outcome of an Apply and, for a conflict, the change that
// superseded the base revision.
type ApplyResult struct {
	Outcome  ApplyOutcome `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"`
	Winner   *Change      `cbor:"3,keyasint,omitempty"`
}

// changeOutcome is the recorded result of a change ID.
type changeOutcome struct {
	Digest [sha256.Size]byte `cbor:"1,keyasint"`
	Result ApplyResult       `cbor:"2,keyasint"`
}

func (m *Machine) applyDeclaration(command *Apply) *ApplyResult {
	digest := sha256.Sum256(Command{Apply: command}.Encode())
	if earlier, ok := m.Outcomes[command.ChangeID]; ok {
		if earlier.Digest != digest {
			return &ApplyResult{Outcome: ApplyIdentityReused, Revision: earlier.Result.Revision}
		}
		result := earlier.Result
		return &result
	}
	result := m.evaluateDeclaration(command)
	m.recordOutcome(command.ChangeID, &changeOutcome{Digest: digest, Result: *result})
	return result
}

func (m *Machine) evaluateDeclaration(command *Apply) *ApplyResult {
	if command.Base != m.Declared {
		return &ApplyResult{Outcome: ApplyConflict, Revision: m.Declared, Winner: m.changeAfter(command.Base)}
	}
	if !m.replacePools(command.Pools) {
		return &ApplyResult{Outcome: ApplyUnchanged, Revision: m.Declared}
	}
	m.Declared = m.Revision
	m.History = append(m.History, Change{
		Revision: m.Declared, ChangeID: command.ChangeID,
		SourceCommit: command.SourceCommit, Author: command.Author, AcceptedAt: m.Now,
	})
	if len(m.History) > maxHistory {
		m.History = append([]Change(nil), m.History[1:]...)
	}
	return &ApplyResult{Outcome: ApplyAccepted, Revision: m.Declared}
}

// changeAfter returns the first recorded change after the base revision, or nil.
func (m *Machine) changeAfter(base uint64) *Change {
	position := sort.Search(len(m.History), func(i int) bool { return m.History[i].Revision > base })
	if position == len(m.History) {
		return nil
	}
	change := m.History[position]
	return &change
}

// replacePools replaces the declared pools and reports whether anything changed.
func (m *Machine) replacePools(specs []PoolSpec) bool {
	before := m.Revision
	declared := make(map[string]bool, len(specs))
	for _, spec := range specs {
		declared[spec.Name] = true
		pool := m.Catalog.Pools[spec.Name]
		if pool != nil && reflect.DeepEqual(pool.Spec, spec) {
			continue
		}
		m.Catalog.Pools[spec.Name] = &Pool{Revision: m.recordChange(KindPool, spec.Name), Spec: spec}
		if m.Ledgers[spec.Name] == nil {
			m.Ledgers[spec.Name] = newLedger()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Catalog.Pools)) {
		if !declared[name] {
			delete(m.Catalog.Pools, name)
			m.recordChange(KindPool, name)
		}
	}
	return m.Revision != before
}

func (m *Machine) recordOutcome(changeID string, recorded *changeOutcome) {
	m.Outcomes[changeID] = recorded
	m.OutcomeOrder = append(m.OutcomeOrder, changeID)
	if len(m.OutcomeOrder) > maxOutcomes {
		delete(m.Outcomes, m.OutcomeOrder[0])
		m.OutcomeOrder = append([]string(nil), m.OutcomeOrder[1:]...)
	}
}

// Limits for declared values.
const (
	maxPriority = 9
	maxPercent  = 100
)

// Problem describes an invalid field of a declaration.
type Problem struct {
	// Path is the path of the field, such as "pools[2].sample_priority".
	Path   string
	Reason string
}

// String returns the path and the reason as one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// ValidatePools returns the problems of the declared pools.
func ValidatePools(pools []PoolSpec) []Problem {
	var problems []Problem
	seen, models := map[string]int{}, map[string]string{}
	for position, pool := range pools {
		path := fmt.Sprintf("pools[%d]", position)
		if first, ok := seen[pool.Name]; ok {
			problems = append(problems, Problem{path + ".name", fmt.Sprintf("duplicates pools[%d].name %q", first, pool.Name)})
		}
		seen[pool.Name] = position
		if model, ok := models[pool.EngineGroup]; ok && model != pool.Model {
			problems = append(problems, Problem{path + ".model", fmt.Sprintf("engine group %q already serves model %q", pool.EngineGroup, model)})
		}
		models[pool.EngineGroup] = pool.Model
		problems = append(problems, pool.validate(path)...)
	}
	return problems
}

func (p PoolSpec) validate(path string) []Problem {
	checks := []struct {
		field   string
		invalid bool
		reason  string
	}{
		{"name", p.Name == "", "must not be empty"},
		{"model", p.Model == "", "must not be empty"},
		{"engine_group", p.EngineGroup == "", "must not be empty"},
		{"weight_policy", p.Policy < FinishRunning || p.Policy > RestartRunning, "must be finish, continue or restart"},
		{"max_staleness_milliseconds", p.MaxStalenessMillis < 0, "must not be negative"},
		{"sample_priority", p.SamplePriority > maxPriority, "must be 0 to 9"},
		{"live_priority", p.LivePriority > maxPriority, "must be 0 to 9"},
		{"max_queued_requests", p.MaxQueuedRequests < 1, "must be at least 1"},
		{"max_queued_tokens", p.MaxQueuedTokens < 1, "must be at least 1"},
		{"retry_percent", p.RetryPercent < 0 || p.RetryPercent > maxPercent, "must be 0 to 100"},
		{"max_swapping_percent", p.MaxSwappingPercent < 1 || p.MaxSwappingPercent > maxPercent, "must be 1 to 100"},
		{"disconnected", p.Disconnected != RefuseDisconnected && p.Disconnected != ServeLiveDisconnected, "must be refuse or serve_live"},
	}
	var problems []Problem
	for _, check := range checks {
		if check.invalid {
			problems = append(problems, Problem{path + "." + check.field, check.reason})
		}
	}
	return problems
}
