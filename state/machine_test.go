package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const testPool = "pool"

func testSpec(staleness uint64) PoolSpec {
	return PoolSpec{
		Name: testPool, Model: "model", EngineGroup: "group", Policy: ContinueRunning, MaxStalenessVersions: staleness,
		MaxQueuedRequests: 1, MaxQueuedTokens: 1, MaxSwappingPercent: 50, Disconnected: RefuseDisconnected,
	}
}

// machinePair applies the same commands to two machines and requires equal results.
// One of them is also restored from its own snapshots.
type machinePair struct {
	plain, restored *Machine
	now             int64
}

func newMachinePair() *machinePair {
	return &machinePair{plain: NewMachine(), restored: NewMachine(), now: 1000}
}

func (p *machinePair) apply(t require.TestingT, command Command) Result {
	command.Now = p.now
	decoded, err := DecodeCommand(command.Encode())
	require.NoError(t, err)
	result := p.plain.Apply(command)
	require.Equal(t, encoded(t, result), encoded(t, p.restored.Apply(decoded)))
	return result
}

func encoded(t require.TestingT, value any) []byte {
	data, err := encoder.Marshal(value)
	require.NoError(t, err)
	return data
}

func (p *machinePair) restore(t require.TestingT) {
	snapshot := p.restored.Snapshot()
	restored, err := Restore(snapshot)
	require.NoError(t, err)
	p.restored = restored
	require.Equal(t, p.plain.Snapshot(), snapshot)
}

// TestDeclarationsCompareAndSwap checks concurrent changes, resends and reused IDs.
func TestDeclarationsCompareAndSwap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newMachinePair()
		current := uint64(0)
		commands := map[string]Command{}
		results := map[string]ApplyResult{}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				id := fmt.Sprintf("change-%d", len(commands))
				base := rapid.SampledFrom([]uint64{current, current, 0, current + 1}).Draw(t, "base")
				command := Command{Apply: &Apply{ChangeID: id, Base: base, Pools: []PoolSpec{testSpec(rapid.Uint64Range(0, 3).Draw(t, "staleness"))}}}
				commands[id] = command
				result := *p.apply(t, command).Apply
				results[id] = result
				switch result.Outcome {
				case ApplyAccepted:
					require.Equal(t, current, base)
					require.Greater(t, result.Revision, current)
					current = result.Revision
				case ApplyUnchanged:
					require.Equal(t, current, base)
				case ApplyConflict:
					require.NotEqual(t, current, base)
				default:
					t.Fatalf("outcome %d", result.Outcome)
				}
				require.Equal(t, current, p.plain.Declared)
			},
			"resend": func(t *rapid.T) {
				if len(commands) == 0 {
					return
				}
				id := fmt.Sprintf("change-%d", rapid.IntRange(0, len(commands)-1).Draw(t, "earlier"))
				require.Equal(t, results[id], *p.apply(t, commands[id]).Apply)
				require.Equal(t, current, p.plain.Declared)
			},
			"reuse": func(t *rapid.T) {
				if len(commands) == 0 {
					return
				}
				other := Command{Apply: &Apply{ChangeID: "change-0", Base: current, Author: "another", Pools: []PoolSpec{testSpec(9)}}}
				require.Equal(t, ApplyIdentityReused, p.apply(t, other).Apply.Outcome)
				require.Equal(t, current, p.plain.Declared)
			},
			"restore": func(t *rapid.T) { p.restore(t) },
		})
	})
}

// arrival is one receipt of a claimed request by a node.
type arrival struct {
	claim    Claim
	resolved bool
}

// TestClaimsRunAtMostOnce sends one request to several nodes and checks that at most
// one arrival is granted the claim, with refusals, restarts and repeated claims in any order.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newMachinePair()
		var arrivals []*arrival
		var holder *arrival
		refused := map[*arrival]bool{}
		epochs := map[string]uint64{}
		register := func(id string, incarnation uint64) {
			epochs[id] = p.apply(t, Command{RegisterNode: &RegisterNode{ID: id, Incarnation: incarnation}}).Register.Epoch
		}
		register("n1", 1)
		register("n2", 1)
		window := int64(10_000)
		attempt := uint32(0)
		submitClaim := func(t *rapid.T, chosen *arrival) {
			result := p.apply(t, Command{Claim: &chosen.claim}).Claim
			if result.Outcome != ClaimGranted {
				return
			}
			require.False(t, refused[chosen], "an arrival reported as not run was granted the claim")
			require.True(t, holder == nil || holder == chosen, "two arrivals hold the claim")
			require.LessOrEqual(t, p.now, chosen.claim.IssuedAt+window)
			holder = chosen
		}
		// withArrival calls the action with a random arrival, if there is one.
		withArrival := func(action func(t *rapid.T, chosen *arrival)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(arrivals) > 0 {
					action(t, rapid.SampledFrom(arrivals).Draw(t, "arrival"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				attempt++
				id := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
				chosen := &arrival{claim: Claim{Key: "key", Digest: []byte("d"), IssuedAt: 1000, Window: window,
					Attempt: attempt, Node: id, Epoch: epochs[id], Nonce: uint64(len(arrivals))}}
				arrivals = append(arrivals, chosen)
				if rapid.Bool().Draw(t, "asked at once") {
					submitClaim(t, chosen)
				}
			},
			"ask": withArrival(submitClaim),
			"refuse": withArrival(func(t *rapid.T, chosen *arrival) {
				if chosen.resolved {
					return
				}
				// The request has not reached an engine, so another arrival may be granted the claim.
				chosen.resolved, refused[chosen] = true, true
				p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: chosen.claim, NotRun: true}})
				if holder == chosen {
					holder = nil
				}
			}),
			"answer": withArrival(func(t *rapid.T, chosen *arrival) {
				if chosen.resolved || holder != chosen {
					return
				}
				chosen.resolved = true
				p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: chosen.claim, Answer: []byte("answer")}})
			}),
			"restart": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
				register(id, epochs[id]+100)
			},
			"wait":    func(t *rapid.T) { p.now += rapid.Int64Range(0, 3000).Draw(t, "millis") },
			"restore": func(t *rapid.T) { p.restore(t) },
		})
	})
}

// ledgerModel simulates nodes that complete samples and a trainer that fetches
// them, with lost replies, delayed duplicates and restarts.
type ledgerModel struct {
	machinePair
	staleness      uint64
	newestVersion  uint64
	epochs         map[string]uint64
	assignSequence map[string]uint64
	results        []CompleteSamples
	submitted      map[SampleKey]bool
	delivered      map[SampleKey]bool
	step           uint64
	session        uint64
	fetchSequence  uint64
	cursor         uint64
	heldVersion    uint64
	sentCommands   []Command
}

func newLedgerModel(t *rapid.T) *ledgerModel {
	m := &ledgerModel{
		machinePair: *newMachinePair(), staleness: rapid.Uint64Range(0, 2).Draw(t, "staleness"), epochs: map[string]uint64{},
		assignSequence: map[string]uint64{}, submitted: map[SampleKey]bool{}, delivered: map[SampleKey]bool{}, session: 1,
	}
	m.apply(t, Command{Apply: &Apply{ChangeID: "first", Pools: []PoolSpec{testSpec(m.staleness)}}})
	m.publish(t)
	m.register(t, "n1")
	m.register(t, "n2")
	return m
}

func (m *ledgerModel) publish(t *rapid.T) {
	m.newestVersion++
	m.apply(t, Command{PublishVersion: &PublishVersion{Model: "model", Version: m.newestVersion}})
}

func (m *ledgerModel) register(t *rapid.T, id string) {
	command := Command{RegisterNode: &RegisterNode{ID: id, Incarnation: m.epochs[id] + 1}}
	m.epochs[id] = m.apply(t, command).Register.Epoch
}

func (m *ledgerModel) submit(t *rapid.T) {
	m.step++
	command := Command{SubmitStep: &SubmitStep{Pool: testPool, Step: m.step}}
	for index := range uint32(rapid.IntRange(1, 4).Draw(t, "samples")) {
		command.SubmitStep.Prompts = append(command.SubmitStep.Prompts, Prompt{Index: index, MaxTokens: 4})
		m.submitted[SampleKey{Step: m.step, Index: index}] = true
	}
	require.Equal(t, SubmitAccepted, m.apply(t, command).Submit.Outcome)
	m.sentCommands = append(m.sentCommands, command)
}

func (m *ledgerModel) assign(t *rapid.T) {
	id := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
	m.assignSequence[id]++
	command := Command{AssignSamples: &AssignSamples{
		Pool: testPool, Node: id, Epoch: m.epochs[id], Sequence: m.assignSequence[id], Max: rapid.IntRange(1, 3).Draw(t, "max"),
	}}
	result := m.apply(t, command).Assign
	require.Equal(t, result, m.apply(t, command).Assign, "a resend returned different samples")
	for _, assigned := range result.Samples {
		version := rapid.Uint64Range(max(1, m.newestVersion-min(m.newestVersion, 2)), m.newestVersion).Draw(t, "version")
		m.results = append(m.results, CompleteSamples{Node: id, Epoch: m.epochs[id], Completions: []Completion{{
			Pool: testPool, Key: assigned.Key, Segments: []Segment{{Version: version, Count: 2}},
			Tokens: PackTokens([]uint32{1, 2}), Failed: rapid.IntRange(0, 5).Draw(t, "failed") == 0,
		}}})
	}
}

func (m *ledgerModel) complete(t *rapid.T) {
	if len(m.results) == 0 {
		return
	}
	// A result may arrive late and more than once.
	command := rapid.SampledFrom(m.results).Draw(t, "result")
	m.apply(t, Command{CompleteSamples: &command})
}

func (m *ledgerModel) fetch(t *rapid.T) {
	m.fetchSequence++
	command := Command{Fetch: &Fetch{
		Pool: testPool, Session: m.session, Sequence: m.fetchSequence, Cursor: m.cursor, HeldVersion: m.heldVersion,
		Max: rapid.IntRange(1, 5).Draw(t, "max"),
	}}
	result := m.apply(t, command).Fetch
	m.sentCommands = append(m.sentCommands, command)
	require.True(t, result.Valid)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	for _, delivery := range result.Deliveries {
		key := delivery.Completion.Key
		require.Greater(t, delivery.Number, m.cursor)
		require.True(t, m.submitted[key])
		require.False(t, m.delivered[key], "%v was delivered twice", key)
		require.GreaterOrEqual(t, delivery.Completion.OldestVersion()+m.staleness, max(m.newestVersion, m.heldVersion))
		m.delivered[key], m.cursor = true, delivery.Number
	}
	m.heldVersion = max(m.heldVersion, result.Newest)
}

func (m *ledgerModel) replay(t *rapid.T) {
	if len(m.sentCommands) == 0 {
		return
	}
	command := rapid.SampledFrom(m.sentCommands).Draw(t, "late copy")
	result := m.apply(t, command)
	if result.Fetch != nil {
		require.False(t, result.Fetch.Valid, "a delayed duplicate of a fetch was answered")
	}
}

// deliverAll runs nodes and trainer until every submitted sample is delivered.
func (m *ledgerModel) deliverAll(t *rapid.T) {
	for round := 0; len(m.delivered) < len(m.submitted); round++ {
		require.Less(t, round, 200, "samples were lost")
		m.register(t, "n1")
		m.register(t, "n2")
		m.assignSequence["n1"]++
		assigned := m.apply(t, Command{AssignSamples: &AssignSamples{
			Pool: testPool, Node: "n1", Epoch: m.epochs["n1"], Sequence: m.assignSequence["n1"], Max: 100,
		}}).Assign
		for _, sample := range assigned.Samples {
			m.apply(t, Command{CompleteSamples: &CompleteSamples{Node: "n1", Epoch: m.epochs["n1"], Completions: []Completion{{
				Pool: testPool, Key: sample.Key, Segments: []Segment{{Version: m.newestVersion, Count: 1}}, Tokens: PackTokens([]uint32{7}),
			}}}})
		}
		m.fetch(t)
	}
}

// TestSamplesReachTheTrainerExactlyOnce checks that no sample is lost, delivered
// twice or delivered stale.
func TestSamplesReachTheTrainerExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"assign":   m.assign,
			"complete": m.complete,
			"fetch":    m.fetch,
			"fetch again": func(t *rapid.T) {
				m.fetch(t)
			},
			"replay":  m.replay,
			"publish": m.publish,
			"restart node": func(t *rapid.T) {
				m.register(t, rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node"))
			},
			"restart trainer": func(t *rapid.T) {
				m.session++
				m.fetchSequence = 0
			},
			"wait":    func(t *rapid.T) { m.now += rapid.Int64Range(0, 1000).Draw(t, "millis") },
			"restore": func(t *rapid.T) { m.restore(t) },
		})
		m.deliverAll(t)
	})
}

// TestDeltasConvergeToCatalog checks that a node that merges late and overlapping
// deltas ends up with its region's catalog.
func TestDeltasConvergeToCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newMachinePair()
		received, revision := NewCatalog(), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"engine": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "engine")
				if rapid.Bool().Draw(t, "removed") {
					p.apply(t, Command{SyncEngines: &SyncEngines{Removed: []string{id}}})
					return
				}
				region := rapid.SampledFrom([]string{"here", "there"}).Draw(t, "region")
				p.apply(t, Command{SyncEngines: &SyncEngines{Listed: []Engine{{ID: id, Region: region, Group: "group", Slots: 4}}}})
			},
			"publish": func(t *rapid.T) {
				newest := p.plain.Catalog.Models["model"].Newest()
				p.apply(t, Command{PublishVersion: &PublishVersion{Model: "model", Version: newest + 1}})
			},
			"catch up": func(t *rapid.T) {
				from := rapid.Uint64Range(0, revision).Draw(t, "from")
				delta := p.plain.DeltaSince(from, "here")
				received.Merge(delta)
				revision = delta.To
				expected := NewCatalog()
				p.plain.copyAll(&expected, "here")
				require.Equal(t, encoded(t, expected), encoded(t, received))
			},
		})
	})
}

func TestValidatePoolsReportsFieldPath(t *testing.T) {
	tests := map[string]struct {
		change func(*PoolSpec)
		path   string
	}{
		"no name":       {func(p *PoolSpec) { p.Name = "" }, "pools[0].name"},
		"no model":      {func(p *PoolSpec) { p.Model = "" }, "pools[0].model"},
		"policy":        {func(p *PoolSpec) { p.Policy = 9 }, "pools[0].weight_policy"},
		"priority":      {func(p *PoolSpec) { p.LivePriority = 10 }, "pools[0].live_priority"},
		"queue":         {func(p *PoolSpec) { p.MaxQueuedRequests = 0 }, "pools[0].max_queued_requests"},
		"retry percent": {func(p *PoolSpec) { p.RetryPercent = 101 }, "pools[0].retry_percent"},
		"swapping":      {func(p *PoolSpec) { p.MaxSwappingPercent = 0 }, "pools[0].max_swapping_percent"},
		"negative time": {func(p *PoolSpec) { p.MaxStalenessMillis = -1 }, "pools[0].max_staleness_milliseconds"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			spec := testSpec(1)
			test.change(&spec)
			problems := ValidatePools([]PoolSpec{spec})
			require.Len(t, problems, 1)
			require.Equal(t, test.path, problems[0].Path)
		})
	}
	require.Empty(t, ValidatePools([]PoolSpec{testSpec(1)}))
	require.Len(t, ValidatePools([]PoolSpec{testSpec(1), testSpec(1)}), 1)
}

// FuzzDecodeCommand checks that decoding malformed log data does not panic.
func FuzzDecodeCommand(f *testing.F) {
	f.Add(Command{PublishVersion: &PublishVersion{Model: "m", Version: 1}}.Encode())
	f.Add([]byte{0xa1, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err == nil {
			_, err = DecodeCommand(command.Encode())
			require.NoError(t, err)
		}
	})
}

// FuzzRestore checks that restoring a malformed snapshot does not panic.
func FuzzRestore(f *testing.F) {
	f.Add(NewMachine().Snapshot())
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Restore(data) })
}

// TestLateClaimOfRefusedAttemptNotGranted checks that a Claim that arrives after the
// refusal of its attempt is not granted.
func TestLateClaimOfRefusedAttemptNotGranted(t *testing.T) {
	p := newMachinePair()
	epoch := p.apply(t, Command{RegisterNode: &RegisterNode{ID: "n1", Incarnation: 1}}).Register.Epoch
	first := Claim{Key: "key", IssuedAt: 1000, Window: 1000, Attempt: 1, Node: "n1", Epoch: epoch, Nonce: 1}
	second := first
	second.Attempt, second.Nonce = 2, 2
	p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: first, NotRun: true}})
	p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: second, NotRun: true}})
	require.Equal(t, ClaimDuplicate, p.apply(t, Command{Claim: &second}).Claim.Outcome)
}

// TestMovedEngineRemovedFromOldRegion checks that an engine that has moved to another
// region has no owner and is removed from the catalogs of its old region.
func TestMovedEngineRemovedFromOldRegion(t *testing.T) {
	p := newMachinePair()
	epoch := p.apply(t, Command{RegisterNode: &RegisterNode{ID: "n1", Region: "west", Incarnation: 1}}).Register.Epoch
	p.apply(t, Command{SyncEngines: &SyncEngines{Listed: []Engine{{ID: "e1", Region: "west"}}}})
	p.apply(t, Command{SetOwners: &SetOwners{Grants: []OwnerGrant{{
		Engine: "e1", EngineEpoch: p.plain.Catalog.Engines["e1"].Epoch, Node: "n1", NodeEpoch: epoch,
	}}}})
	known := p.plain.DeltaSince(0, "west")
	require.Contains(t, known.Changed.Engines, "e1")
	p.apply(t, Command{SyncEngines: &SyncEngines{Listed: []Engine{{ID: "e1", Region: "east"}}}})
	require.Empty(t, p.plain.Catalog.Engines["e1"].Owner)
	require.Equal(t, []ObjectKey{{Kind: KindEngine, Name: "e1"}}, p.plain.DeltaSince(known.To, "west").Removed)
}
