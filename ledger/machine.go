package ledger

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/duty"
)

// Entry is a step and its progress.
type Entry struct {
	Step    *Step    `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Ended   bool     `cbor:"3,keyasint"`
	// Partials maps samples without a result to their checkpoints.
	Partials map[string]Partial `cbor:"4,keyasint,omitempty"`
	// Failures maps samples without a result to their failure counts.
	Failures map[string]Failures `cbor:"5,keyasint,omitempty"`
	// hasResult is the set of samples in Results.
	hasResult map[string]bool
}

// Partial is the checkpoint of a sample: the data of its first events and the versions of the weights
// that generated them. It is immutable.
type Partial struct {
	Events   []string `cbor:"1,keyasint"`
	Versions []uint64 `cbor:"2,keyasint"`
}

// HasResult reports whether the sample has a result.
func (e *Entry) HasResult(sample string) bool { return e.hasResult[sample] }

// AllowsTenant reports whether the tenant may read and end the step. An empty tenant on either side
// allows access.
func (e *Entry) AllowsTenant(tenant string) bool {
	return tenant == "" || e.Step.Tenant == "" || e.Step.Tenant == tenant
}

// Sample returns the sample with the given ID, or nil.
func (e *Entry) Sample(id string) *Sample {
	for i := range e.Step.Samples {
		if e.Step.Samples[i].ID == id {
			return &e.Step.Samples[i]
		}
	}
	return nil
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	steps map[string]*Entry
	// orders maps an engine's ID to its newest order.
	orders map[string]duty.Action
	paces  map[string]float64
	size   int64
	// Generation increases with each change of a step or its results.
	Generation uint64
}

// NewMachine returns an empty state.
func NewMachine() *Machine {
	return &Machine{steps: map[string]*Entry{}, orders: map[string]duty.Action{}}
}

// snapshotHeader precedes the entries in a snapshot.
type snapshotHeader struct {
	Orders map[string]duty.Action `cbor:"1,keyasint"`
	Paces  map[string]float64     `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns a function that writes the current state, entry by entry. Shallow copies of the
// entries suffice, since steps and partial texts are immutable and results are only appended.
func (m *Machine) Snapshot() func(io.Writer) error {
	header := snapshotHeader{Orders: maps.Clone(m.orders), Paces: m.paces}
	entries := make([]*Entry, 0, len(m.steps))
	for _, entry := range m.Steps() {
		entries = append(entries, &Entry{
			Step: entry.Step, Results: entry.Results[:len(entry.Results):len(entry.Results)], Ended: entry.Ended,
			Partials: maps.Clone(entry.Partials), Failures: maps.Clone(entry.Failures),
		})
	}
	return func(writer io.Writer) error {
		stream := encoder.NewEncoder(writer)
		err := stream.Encode(header)
		for i := 0; i < len(entries) && err == nil; i++ {
			err = stream.Encode(entries[i])
		}
		return err
	}
}

// Restore replaces the state by the snapshot. An empty snapshot yields an empty state.
func (m *Machine) Restore(reader io.Reader) error {
	m.steps, m.orders, m.size = map[string]*Entry{}, map[string]duty.Action{}, 0
	m.Generation++
	stream := cbor.NewDecoder(reader)
	var header snapshotHeader
	err := stream.Decode(&header)
	if header.Orders != nil {
		m.orders = header.Orders
	}
	m.paces = header.Paces
	for err == nil {
		entry := &Entry{}
		if err = stream.Decode(entry); err == nil {
			entry.indexResults()
			m.steps[entry.Step.ID] = entry
			m.size += entry.size()
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (e *Entry) indexResults() {
	e.hasResult = make(map[string]bool, len(e.Step.Samples))
	for _, result := range e.Results {
		e.hasResult[result.Sample] = true
	}
}

// Step returns the step with the given ID, or nil.
func (m *Machine) Step(id string) *Entry { return m.steps[id] }

// Steps returns all steps in the order of their submission.
func (m *Machine) Steps() []*Entry {
	entries := slices.Collect(maps.Values(m.steps))
	slices.SortFunc(entries, func(a, b *Entry) int {
		switch {
		case a.Step.SubmittedAt != b.Step.SubmittedAt:
			return int(a.Step.SubmittedAt - b.Step.SubmittedAt)
		case a.Step.ID < b.Step.ID:
			return -1
		default:
			return 1
		}
	})
	return entries
}

// Apply applies an encoded command. Commands are idempotent and have no result: callers read their
// effect from the state. An entry that cannot be decoded is ignored.
func (m *Machine) Apply(data []byte) []byte {
	command, err := decodeCommand(data)
	if err != nil {
		return nil
	}
	if command.Order != nil {
		m.recordOrder(*command.Order)
		return nil
	}
	if command.Paces != nil {
		m.paces = command.Paces.Millis
		return nil
	}
	if command.Checkpoint != nil {
		m.applyCheckpoint(command.Checkpoint)
		return nil
	}
	if command.Failed != nil {
		m.recordFailures(command.Failed)
		return nil
	}
	m.Generation++
	switch {
	case command.Submit != nil:
		m.addStep(command.Submit)
	case command.Record != nil:
		m.recordResults(command.Record)
	case command.End != nil:
		m.endStep(command.End.Step)
	case command.Prune != nil:
		for _, id := range command.Prune.Steps {
			m.deleteStep(id)
		}
	}
	return nil
}

// addStep adds the step unless it exists.
func (m *Machine) addStep(step *Step) {
	if m.steps[step.ID] != nil {
		return
	}
	entry := &Entry{Step: step}
	entry.indexResults()
	m.steps[step.ID] = entry
	m.size += entry.size()
}

func (m *Machine) deleteStep(id string) {
	if entry := m.steps[id]; entry != nil {
		m.size -= entry.size()
		delete(m.steps, id)
	}
}

// recordResults appends the results of samples that have none yet. The position of a result never
// changes. A result that does not match the sample's checkpoint is ignored, which the leader detects
// with HasResult.
func (m *Machine) recordResults(record *Record) {
	entry := m.steps[record.Step]
	if entry == nil || entry.Ended {
		return
	}
	for _, result := range record.Results {
		if entry.hasResult[result.Sample] || entry.Sample(result.Sample) == nil {
			continue
		}
		restored, ok := result.restoreText(entry.Partials[result.Sample])
		if !ok {
			continue
		}
		entry.hasResult[result.Sample] = true
		entry.Results = append(entry.Results, restored)
		m.size += restored.size()
		delete(entry.Partials, result.Sample)
		delete(entry.Failures, result.Sample)
	}
}

// applyCheckpoint extends the partial texts of samples that have no result. A continuation that would
// leave a gap is ignored.
func (m *Machine) applyCheckpoint(checkpoint *Checkpoint) {
	entry := m.steps[checkpoint.Step]
	if entry == nil || entry.Ended {
		return
	}
	for _, continuation := range checkpoint.Texts {
		events := entry.Partials[continuation.Sample].Events
		if entry.hasResult[continuation.Sample] || continuation.After > uint64(len(events)) || entry.Sample(continuation.Sample) == nil {
			continue
		}
		if entry.Partials == nil {
			entry.Partials = map[string]Partial{}
		}
		entry.Partials[continuation.Sample] = Partial{
			Events: slices.Concat(events[:continuation.After], continuation.Events), Versions: continuation.Versions,
		}
	}
}

// recordFailures raises the failure counts of a sample that has no result.
func (m *Machine) recordFailures(failed *Failed) {
	entry := m.steps[failed.Step]
	if entry == nil || entry.Ended || entry.hasResult[failed.Sample] || entry.Sample(failed.Sample) == nil {
		return
	}
	if entry.Failures == nil {
		entry.Failures = map[string]Failures{}
	}
	counts := entry.Failures[failed.Sample]
	entry.Failures[failed.Sample] = Failures{
		Runs: max(counts.Runs, failed.Counts.Runs), Rewards: max(counts.Rewards, failed.Counts.Rewards),
	}
}

func (m *Machine) endStep(id string) {
	if entry := m.steps[id]; entry != nil {
		entry.Ended, entry.Partials, entry.Failures = true, nil, nil
	}
}

// Once there are more than maxOrders orders, those older than orderRetentionMillis are deleted.
const (
	maxOrders            = 1000
	orderRetentionMillis = 600000
)

func (m *Machine) recordOrder(order duty.Action) {
	m.orders[order.Subject] = order
	if len(m.orders) > maxOrders {
		maps.DeleteFunc(m.orders, func(_ string, other duty.Action) bool { return other.At < order.At-orderRetentionMillis })
	}
}

// Paces maps an engine's ID to its observed time between events in milliseconds. Callers must not
// modify the map.
func (m *Machine) Paces() map[string]float64 { return m.paces }

// Orders maps an engine's ID to its newest order. Callers must not modify the map.
func (m *Machine) Orders() map[string]duty.Action { return m.orders }
