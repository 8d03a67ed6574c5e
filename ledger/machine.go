package ledger

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/duty"
)

// Entry is a step with its results so far.
type Entry struct {
	Step    *Step    `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Ended   bool     `cbor:"3,keyasint"`
	// Partials holds the partial texts of samples without a result.
	Partials map[string]Partial `cbor:"4,keyasint,omitempty"`
	// Failures holds the failures of samples without a result.
	Failures map[string]Failures `cbor:"5,keyasint,omitempty"`
	// listed holds the samples that have a result.
	listed map[string]bool
}

// Partial is the text of a sample as far as a checkpoint kept it: the data of
// its first events, and the versions that made them. It is never changed.
type Partial struct {
	Events   []string `cbor:"1,keyasint"`
	Versions []uint64 `cbor:"2,keyasint"`
}

// Listed tells whether the sample has a result.
func (e *Entry) Listed(sample string) bool { return e.listed[sample] }

// OpenTo tells whether the tenant may read and end the step. A step without a tenant, and a
// caller of a deployment without any, are not told apart.
func (e *Entry) OpenTo(tenant string) bool {
	return tenant == "" || e.Step.Tenant == "" || e.Step.Tenant == tenant
}

// Sample returns the sample with the ID, or nil.
func (e *Entry) Sample(id string) *Sample {
	for position := range e.Step.Samples {
		if e.Step.Samples[position].ID == id {
			return &e.Step.Samples[position]
		}
	}
	return nil
}

// Machine is the replicated state. Its methods must not be called concurrently.
type Machine struct {
	steps map[string]*Entry
	// orders holds the newest order to each engine.
	orders map[string]duty.Action
	paces  map[string]float64
	// Generation grows with each change.
	Generation uint64
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{steps: map[string]*Entry{}, orders: map[string]duty.Action{}}
}

// snapshotHeader comes before the entries in a snapshot.
type snapshotHeader struct {
	Orders map[string]duty.Action `cbor:"1,keyasint"`
	Paces  map[string]float64     `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns a function that writes the state as it is now, one entry after
// the other. Steps and partial texts are never changed and results only appended,
// so copies of the entries do.
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
		pieces := encoder.NewEncoder(writer)
		err := pieces.Encode(header)
		for position := 0; position < len(entries) && err == nil; position++ {
			err = pieces.Encode(entries[position])
		}
		return err
	}
}

// Restore replaces the state by a written one; nothing to read is the state
// before the first command.
func (m *Machine) Restore(reader io.Reader) error {
	m.steps, m.orders = map[string]*Entry{}, map[string]duty.Action{}
	m.Generation++
	pieces := cbor.NewDecoder(reader)
	var header snapshotHeader
	err := pieces.Decode(&header)
	if header.Orders != nil {
		m.orders = header.Orders
	}
	m.paces = header.Paces
	for err == nil {
		entry := &Entry{}
		if err = pieces.Decode(entry); err == nil {
			entry.index()
			m.steps[entry.Step.ID] = entry
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (e *Entry) index() {
	e.listed = make(map[string]bool, len(e.Step.Samples))
	for _, result := range e.Results {
		e.listed[result.Sample] = true
	}
}

// Step returns the step with the ID, or nil.
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

// Apply carries out an encoded command. It returns nothing: each command can
// be repeated, and its effect is read from the state. An entry that cannot be
// decoded has no effect.
func (m *Machine) Apply(data []byte) []byte {
	command, err := decodeCommand(data)
	if err != nil {
		return nil
	}
	if command.Order != nil {
		m.order(*command.Order)
		return nil
	}
	if command.Paces != nil {
		m.paces = command.Paces.Millis
		return nil
	}
	if command.Checkpoint != nil {
		m.checkpoint(command.Checkpoint)
		return nil
	}
	if command.Failed != nil {
		m.fail(command.Failed)
		return nil
	}
	m.Generation++
	switch {
	case command.Submit != nil:
		m.submit(command.Submit)
	case command.Record != nil:
		m.record(command.Record)
	case command.End != nil:
		m.end(command.End.Step)
	case command.Prune != nil:
		for _, id := range command.Prune.Steps {
			delete(m.steps, id)
		}
	}
	return nil
}

// submit takes a step once.
func (m *Machine) submit(step *Step) {
	if m.steps[step.ID] != nil {
		return
	}
	entry := &Entry{Step: step}
	entry.index()
	m.steps[step.ID] = entry
}

// record adds the results of samples that have none yet. The position of a
// result never changes. A result whose text does not go on from what is kept is
// not taken; whoever recorded it sees that it is not listed.
func (m *Machine) record(record *Record) {
	entry := m.steps[record.Step]
	if entry == nil || entry.Ended {
		return
	}
	for _, result := range record.Results {
		if entry.listed[result.Sample] || entry.Sample(result.Sample) == nil {
			continue
		}
		whole, ok := result.wholeText(entry.Partials[result.Sample])
		if !ok {
			continue
		}
		entry.listed[result.Sample] = true
		entry.Results = append(entry.Results, whole)
		delete(entry.Partials, result.Sample)
		delete(entry.Failures, result.Sample)
	}
}

// checkpoint takes in the partial texts of samples that have no result. A
// continuation that begins beyond what is kept would leave a gap and is dropped.
func (m *Machine) checkpoint(checkpoint *Checkpoint) {
	entry := m.steps[checkpoint.Step]
	if entry == nil || entry.Ended {
		return
	}
	for _, text := range checkpoint.Texts {
		kept := entry.Partials[text.Sample].Events
		if entry.listed[text.Sample] || text.After > uint64(len(kept)) || entry.Sample(text.Sample) == nil {
			continue
		}
		if entry.Partials == nil {
			entry.Partials = map[string]Partial{}
		}
		entry.Partials[text.Sample] = Partial{
			Events: slices.Concat(kept[:text.After], text.Events), Versions: text.Versions,
		}
	}
}

// fail takes in the failures of a sample that has no result.
func (m *Machine) fail(failed *Failed) {
	entry := m.steps[failed.Step]
	if entry == nil || entry.Ended || entry.listed[failed.Sample] || entry.Sample(failed.Sample) == nil {
		return
	}
	if entry.Failures == nil {
		entry.Failures = map[string]Failures{}
	}
	known := entry.Failures[failed.Sample]
	entry.Failures[failed.Sample] = Failures{
		Runs: max(known.Runs, failed.Counts.Runs), Rewards: max(known.Rewards, failed.Counts.Rewards),
	}
}

func (m *Machine) end(id string) {
	if entry := m.steps[id]; entry != nil {
		entry.Ended, entry.Partials, entry.Failures = true, nil, nil
	}
}

// maxOrders bounds the orders that are remembered, and orderRetention is how
// long, in milliseconds, one is remembered beyond that number.
const (
	maxOrders      = 1000
	orderRetention = 600000
)

func (m *Machine) order(order duty.Action) {
	m.orders[order.Subject] = order
	if len(m.orders) > maxOrders {
		maps.DeleteFunc(m.orders, func(_ string, known duty.Action) bool { return known.At < order.At-orderRetention })
	}
}

// Paces returns what the newest leader has observed of the engines' paces, in
// milliseconds between events. It must not be changed.
func (m *Machine) Paces() map[string]float64 { return m.paces }

// Orders returns the newest order to each engine. It must not be changed.
func (m *Machine) Orders() map[string]duty.Action { return m.orders }
