package state

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"
)

// maxSteps limits the number of steps recorded for a pool. Steps up to the last
// deleted one are refused, so that no step runs twice.
const maxSteps = 64

// bytesPerToken is the size of a token in Completion.Tokens.
const bytesPerToken = 4

// Prompt is the input of one sample of a step.
type Prompt struct {
	Index     uint32 `cbor:"1,keyasint"`
	Prompt    string `cbor:"2,keyasint"`
	MaxTokens uint32 `cbor:"3,keyasint"`
}

// SubmitStep adds the samples of a step.
type SubmitStep struct {
	Pool    string   `cbor:"1,keyasint"`
	Step    uint64   `cbor:"2,keyasint"`
	Prompts []Prompt `cbor:"3,keyasint"`
}

// SubmitOutcome is the outcome of a SubmitStep.
type SubmitOutcome uint8

// The outcomes of a SubmitStep.
const (
	SubmitAccepted SubmitOutcome = iota + 1
	SubmitDuplicate
	SubmitUnknownPool
	SubmitIdentityReused
	SubmitExpired
)

// SubmitResult holds the outcome of a SubmitStep.
type SubmitResult struct {
	Outcome SubmitOutcome `cbor:"1,keyasint"`
}

// SampleKey identifies a sample within its pool.
type SampleKey struct {
	_     struct{} `cbor:",toarray"`
	Step  uint64
	Index uint32
}

func (k SampleKey) less(other SampleKey) bool {
	if k.Step != other.Step {
		return k.Step < other.Step
	}
	return k.Index < other.Index
}

// Segment is a range of a sample's tokens that was generated with one version.
type Segment struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	First   uint32
	Count   uint32
}

// Completion is the complete result of a sample.
type Completion struct {
	Pool     string    `cbor:"1,keyasint"`
	Key      SampleKey `cbor:"2,keyasint"`
	Segments []Segment `cbor:"3,keyasint"`
	// Tokens holds 4 bytes for each token, big-endian.
	Tokens []byte  `cbor:"4,keyasint"`
	Reward float64 `cbor:"5,keyasint"`
	// Failed is set if the node returns the sample without a result.
	Failed bool `cbor:"6,keyasint,omitempty"`
}

// CompleteSamples records results; only the first result of a sample is kept.
type CompleteSamples struct {
	Node        string       `cbor:"1,keyasint"`
	Epoch       uint64       `cbor:"2,keyasint"`
	Completions []Completion `cbor:"3,keyasint"`
}

// AssignSamples assigns pending samples of a pool to a node.
type AssignSamples struct {
	Pool  string `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
	// Sequence increases with each new request of the node for the pool. A resend
	// with the same sequence returns the same samples.
	Sequence uint64 `cbor:"4,keyasint"`
	Max      int    `cbor:"5,keyasint"`
}

// AssignedSample is a sample that is assigned to a node.
type AssignedSample struct {
	Key       SampleKey `cbor:"1,keyasint"`
	Prompt    string    `cbor:"2,keyasint"`
	MaxTokens uint32    `cbor:"3,keyasint"`
}

// AssignResult lists the assigned samples.
type AssignResult struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Samples  []AssignedSample `cbor:"2,keyasint"`
}

// Fetch acknowledges deliveries up to the cursor and requests those after it.
type Fetch struct {
	Pool        string `cbor:"1,keyasint"`
	Session     uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Cursor      uint64 `cbor:"4,keyasint"`
	HeldVersion uint64 `cbor:"5,keyasint"`
	Max         int    `cbor:"6,keyasint"`
}

// Delivery is a completed sample with its delivery number.
type Delivery struct {
	Number     uint64     `cbor:"1,keyasint"`
	Completion Completion `cbor:"2,keyasint"`
}

// FetchResult lists the deliveries after the cursor.
type FetchResult struct {
	// Valid is false if the fetch is superseded by a newer one or a newer session,
	// or if the cursor is out of range.
	Valid      bool       `cbor:"1,keyasint"`
	Deliveries []Delivery `cbor:"2,keyasint"`
	Newest     uint64     `cbor:"3,keyasint"`
}

// SampleState is the state of a sample.
type SampleState uint8

// The states of a sample. Acknowledged samples are deleted.
const (
	SamplePending SampleState = iota + 1
	SampleAssigned
	SampleCompleted
)

type sample struct {
	Prompt Prompt      `cbor:"1,keyasint"`
	State  SampleState `cbor:"2,keyasint"`
	Node   string      `cbor:"3,keyasint"`
	Epoch  uint64      `cbor:"4,keyasint"`
	Result *Completion `cbor:"5,keyasint"`
}

type step struct {
	Number uint64            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
}

// assignment is a node's last assignment, kept to answer resends.
type assignment struct {
	Epoch    uint64       `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`
	Result   AssignResult `cbor:"3,keyasint"`
}

type numberedSample struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Key    SampleKey
}

// Counters are a ledger's totals since the pool was declared.
type Counters struct {
	Submitted    uint64 `cbor:"1,keyasint"`
	Acknowledged uint64 `cbor:"2,keyasint"`
	// StaleReruns counts samples that ran again because their result was stale.
	StaleReruns uint64 `cbor:"3,keyasint"`
	// Discarded counts results for samples that were already completed or acknowledged.
	Discarded uint64 `cbor:"4,keyasint"`
}

// Ledger holds the samples of one pool and the delivery state of its trainer.
type Ledger struct {
	// Steps are the last submitted steps in ascending order.
	Steps []step `cbor:"1,keyasint"`
	// Forgotten is the highest step that was deleted from Steps.
	Forgotten uint64                 `cbor:"2,keyasint"`
	Samples   map[SampleKey]*sample  `cbor:"3,keyasint"`
	Assigned  map[string]*assignment `cbor:"4,keyasint"`
	// Completed are the completed samples without a delivery number, in commit order.
	Completed []SampleKey `cbor:"5,keyasint"`
	// Offered are the samples with a delivery number that are not acknowledged.
	Offered    []numberedSample `cbor:"6,keyasint"`
	LastNumber uint64           `cbor:"7,keyasint"`
	Session    uint64           `cbor:"8,keyasint"`
	Sequence   uint64           `cbor:"9,keyasint"`
	Cursor     uint64           `cbor:"10,keyasint"`
	Counters   Counters         `cbor:"11,keyasint"`

	pending pendingQueue
}

func newLedger() *Ledger {
	return &Ledger{Samples: map[SampleKey]*sample{}, Assigned: map[string]*assignment{}}
}

// rebuildPending rebuilds the pending queue, which a snapshot does not contain.
func (l *Ledger) rebuildPending() {
	keys := make([]SampleKey, 0, len(l.Samples))
	for key, sample := range l.Samples {
		if sample.State == SamplePending {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	l.pending = pendingQueue{}
	for _, key := range keys {
		l.pending.push(key, l.Samples[key].Prompt.MaxTokens)
	}
}

// Pending returns the number of samples that are not assigned to a node.
func (l *Ledger) Pending() int { return l.pending.len() }

// Deliverable reports whether a fetch with the cursor could acknowledge or return samples.
func (l *Ledger) Deliverable(cursor uint64) bool {
	return cursor > l.Cursor || len(l.Completed) > 0 || len(l.Offered) > 0
}

// CompletedCount returns the number of completed samples that are not acknowledged.
func (l *Ledger) CompletedCount() int { return len(l.Completed) + len(l.Offered) }

func (m *Machine) submitStep(command *SubmitStep) *SubmitResult {
	ledger := m.Ledgers[command.Pool]
	if ledger == nil || m.Catalog.Pools[command.Pool] == nil {
		return &SubmitResult{Outcome: SubmitUnknownPool}
	}
	digest := sha256.Sum256(Command{SubmitStep: command}.Encode())
	return &SubmitResult{Outcome: ledger.submit(command, digest)}
}

func (l *Ledger) submit(command *SubmitStep, digest [sha256.Size]byte) SubmitOutcome {
	position := sort.Search(len(l.Steps), func(i int) bool { return l.Steps[i].Number >= command.Step })
	if position < len(l.Steps) && l.Steps[position].Number == command.Step {
		if l.Steps[position].Digest != digest {
			return SubmitIdentityReused
		}
		return SubmitDuplicate
	}
	if command.Step <= l.Forgotten {
		return SubmitExpired
	}
	l.Steps = append(l.Steps, step{})
	copy(l.Steps[position+1:], l.Steps[position:])
	l.Steps[position] = step{Number: command.Step, Digest: digest}
	if len(l.Steps) > maxSteps {
		l.Forgotten = l.Steps[0].Number
		l.Steps = append([]step(nil), l.Steps[1:]...)
	}
	for _, prompt := range command.Prompts {
		key := SampleKey{Step: command.Step, Index: prompt.Index}
		l.Samples[key] = &sample{Prompt: prompt, State: SamplePending}
		l.pending.push(key, prompt.MaxTokens)
	}
	l.Counters.Submitted += uint64(len(command.Prompts))
	return SubmitAccepted
}

func (m *Machine) assignSamples(command *AssignSamples) *AssignResult {
	empty := &AssignResult{Sequence: command.Sequence}
	ledger, node := m.Ledgers[command.Pool], m.Catalog.Nodes[command.Node]
	if ledger == nil || node == nil || node.Epoch != command.Epoch || node.Draining {
		return empty
	}
	if m.Catalog.Pools[command.Pool] == nil {
		return empty
	}
	earlier := ledger.Assigned[command.Node]
	if earlier != nil && earlier.Epoch == command.Epoch && command.Sequence <= earlier.Sequence {
		if command.Sequence < earlier.Sequence {
			return empty
		}
		result := earlier.Result
		return &result
	}
	result := ledger.assign(command)
	ledger.Assigned[command.Node] = &assignment{Epoch: command.Epoch, Sequence: command.Sequence, Result: *result}
	return result
}

func (l *Ledger) assign(command *AssignSamples) *AssignResult {
	result := &AssignResult{Sequence: command.Sequence}
	for len(result.Samples) < command.Max && l.pending.len() > 0 {
		key := l.pending.pop()
		sample := l.Samples[key]
		if sample == nil || sample.State != SamplePending {
			continue
		}
		sample.State, sample.Node, sample.Epoch = SampleAssigned, command.Node, command.Epoch
		result.Samples = append(result.Samples, AssignedSample{
			Key: key, Prompt: sample.Prompt.Prompt, MaxTokens: sample.Prompt.MaxTokens,
		})
	}
	return result
}

// releaseNode returns the samples assigned to an ended registration to the queue.
func (l *Ledger) releaseNode(node string, epoch uint64) {
	var keys []SampleKey
	for key, sample := range l.Samples {
		if sample.State == SampleAssigned && sample.Node == node && sample.Epoch == epoch {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	for _, key := range keys {
		l.requeue(key)
	}
	delete(l.Assigned, node)
}

func (l *Ledger) requeue(key SampleKey) {
	sample := l.Samples[key]
	*sample = sample.asPending()
	l.pending.push(key, sample.Prompt.MaxTokens)
}

func (s *sample) asPending() sample {
	return sample{Prompt: s.Prompt, State: SamplePending}
}

func (m *Machine) completeSamples(command *CompleteSamples) {
	for position := range command.Completions {
		completion := &command.Completions[position]
		if ledger := m.Ledgers[completion.Pool]; ledger != nil {
			m.complete(ledger, command, completion)
		}
	}
}

// complete records the first valid result of a sample. Results for completed or
// acknowledged samples are discarded; a sample with a stale result runs again.
func (m *Machine) complete(ledger *Ledger, command *CompleteSamples, completion *Completion) {
	sample := ledger.Samples[completion.Key]
	if sample == nil || sample.State == SampleCompleted {
		ledger.Counters.Discarded++
		return
	}
	assigned := sample.State == SampleAssigned && sample.Node == command.Node && sample.Epoch == command.Epoch
	if completion.Failed || !m.isWellFormed(completion) {
		if assigned {
			ledger.requeue(completion.Key)
		}
		return
	}
	if m.isStale(completion, 0) {
		ledger.Counters.StaleReruns++
		if assigned {
			ledger.requeue(completion.Key)
		}
		return
	}
	sample.State, sample.Result = SampleCompleted, completion
	ledger.Completed = append(ledger.Completed, completion.Key)
}

// isWellFormed reports whether the segments cover the tokens without gaps or
// overlaps and their versions are published.
func (m *Machine) isWellFormed(completion *Completion) bool {
	pool := m.Catalog.Pools[completion.Pool]
	if pool == nil {
		return false
	}
	newest, next := m.Catalog.Models[pool.Spec.Model].Newest(), uint32(0)
	for _, segment := range completion.Segments {
		if segment.First != next || segment.Count == 0 || segment.Version == 0 || segment.Version > newest {
			return false
		}
		next += segment.Count
	}
	return next > 0 && int(next)*bytesPerToken == len(completion.Tokens)
}

func (m *Machine) isStale(completion *Completion, heldVersion uint64) bool {
	pool := m.Catalog.Pools[completion.Pool]
	if pool == nil {
		return true
	}
	return pool.Spec.IsStale(m.Catalog.Models[pool.Spec.Model], completion.OldestVersion(), heldVersion, m.Now)
}

// OldestVersion returns the lowest version among the segments.
func (c *Completion) OldestVersion() uint64 {
	oldest := c.Segments[0].Version
	for _, segment := range c.Segments {
		oldest = min(oldest, segment.Version)
	}
	return oldest
}

// fetch returns the next deliveries. The trainer has accepted nothing after its
// cursor, and this fetch invalidates the replies to earlier ones. Samples offered
// after the cursor that have become stale can therefore still be withdrawn.
func (m *Machine) fetch(command *Fetch) *FetchResult {
	ledger, pool := m.Ledgers[command.Pool], m.Catalog.Pools[command.Pool]
	if ledger == nil || pool == nil || !ledger.acceptFetch(command) {
		return &FetchResult{}
	}
	ledger.acknowledge(command.Cursor)
	m.withdrawStale(ledger, command.HeldVersion)
	m.offerCompleted(ledger, command)
	result := &FetchResult{Valid: true, Newest: m.Catalog.Models[pool.Spec.Model].Newest()}
	for _, offered := range ledger.Offered {
		if len(result.Deliveries) == command.Max {
			break
		}
		result.Deliveries = append(result.Deliveries, Delivery{
			Number: offered.Number, Completion: *ledger.Samples[offered.Key].Result,
		})
	}
	return result
}

func (l *Ledger) acceptFetch(command *Fetch) bool {
	if command.Session < l.Session || (command.Session == l.Session && command.Sequence <= l.Sequence) {
		return false
	}
	if command.Cursor < l.Cursor || command.Cursor > l.LastNumber {
		return false
	}
	l.Session, l.Sequence = command.Session, command.Sequence
	return true
}

func (l *Ledger) acknowledge(cursor uint64) {
	l.Cursor = cursor
	count := 0
	for count < len(l.Offered) && l.Offered[count].Number <= cursor {
		delete(l.Samples, l.Offered[count].Key)
		count++
	}
	l.Offered = append([]numberedSample(nil), l.Offered[count:]...)
	l.Counters.Acknowledged += uint64(count)
}

func (m *Machine) withdrawStale(ledger *Ledger, heldVersion uint64) {
	kept := ledger.Offered[:0]
	for _, offered := range ledger.Offered {
		if m.isStale(ledger.Samples[offered.Key].Result, heldVersion) {
			ledger.Counters.StaleReruns++
			ledger.requeue(offered.Key)
			continue
		}
		kept = append(kept, offered)
	}
	ledger.Offered = kept
}

func (m *Machine) offerCompleted(ledger *Ledger, command *Fetch) {
	processed := 0
	for _, key := range ledger.Completed {
		if len(ledger.Offered) >= command.Max {
			break
		}
		processed++
		if m.isStale(ledger.Samples[key].Result, command.HeldVersion) {
			ledger.Counters.StaleReruns++
			ledger.requeue(key)
			continue
		}
		ledger.LastNumber++
		ledger.Offered = append(ledger.Offered, numberedSample{Number: ledger.LastNumber, Key: key})
	}
	ledger.Completed = append([]SampleKey(nil), ledger.Completed[processed:]...)
}

// PackTokens encodes tokens for Completion.Tokens.
func PackTokens(tokens []uint32) []byte {
	data := make([]byte, 0, len(tokens)*bytesPerToken)
	for _, token := range tokens {
		data = binary.BigEndian.AppendUint32(data, token)
	}
	return data
}

// UnpackTokens is the inverse of PackTokens.
func UnpackTokens(data []byte) []uint32 {
	tokens := make([]uint32, len(data)/bytesPerToken)
	for position := range tokens {
		tokens[position] = binary.BigEndian.Uint32(data[position*bytesPerToken:])
	}
	return tokens
}
