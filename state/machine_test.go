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

// pair holds two machines that apply the same commands. One goes through
// snapshots, as a replica that falls behind does; they must not differ.
type pair struct {
	plain, restored *Machine
	now             int64
}

func newPair() *pair { return &pair{plain: NewMachine(), restored: NewMachine(), now: 1000} }

func (p *pair) apply(t require.TestingT, command Command) Result {
	command.Now = p.now
	decoded, err := DecodeCommand(command.Encode())
	require.NoError(t, err)
	result := p.plain.Apply(command)
	require.Equal(t, encoded(t, result), encoded(t, p.restored.Apply(decoded)))
	return result
}

func encoded(t require.TestingT, value any) []byte {
	data, err := deterministic.Marshal(value)
	require.NoError(t, err)
	return data
}

func (p *pair) restore(t require.TestingT) {
	snapshot := p.restored.Snapshot()
	restored, err := Restore(snapshot)
	require.NoError(t, err)
	p.restored = restored
	require.Equal(t, p.plain.Snapshot(), snapshot)
}

// TestDeclarationsCompareAndSwap races changes and their resends.
func TestDeclarationsCompareAndSwap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		current := uint64(0)
		first := map[string]Command{}
		answers := map[string]ApplyResult{}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				id := fmt.Sprintf("change-%d", len(first))
				base := rapid.SampledFrom([]uint64{current, current, 0, current + 1}).Draw(t, "base")
				command := Command{Apply: &Apply{ChangeID: id, Base: base, Pools: []PoolSpec{testSpec(rapid.Uint64Range(0, 3).Draw(t, "staleness"))}}}
				first[id] = command
				result := *p.apply(t, command).Apply
				answers[id] = result
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
				if len(first) == 0 {
					return
				}
				id := fmt.Sprintf("change-%d", rapid.IntRange(0, len(first)-1).Draw(t, "earlier"))
				require.Equal(t, answers[id], *p.apply(t, first[id]).Apply)
				require.Equal(t, current, p.plain.Declared)
			},
			"reuse": func(t *rapid.T) {
				if len(first) == 0 {
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

// arrival is one way by which a claimed request has come to a node.
type arrival struct {
	claim    Claim
	resolved bool
}

// TestClaimsRunAtMostOnce lets resends of one request arrive at several nodes,
// which reach engines only under a grant, in any order with refusals,
// expiries and repeated questions.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		var arrivals []*arrival
		var running *arrival
		refused := map[*arrival]bool{}
		epochs := map[string]uint64{}
		register := func(id string, incarnation uint64) {
			epochs[id] = p.apply(t, Command{RegisterNode: &RegisterNode{ID: id, Incarnation: incarnation}}).Register.Epoch
		}
		register("n1", 1)
		register("n2", 1)
		window := int64(10_000)
		attempt := uint32(0)
		ask := func(t *rapid.T, chosen *arrival) {
			result := p.apply(t, Command{Claim: &chosen.claim}).Claim
			if result.Outcome != ClaimGranted {
				return
			}
			require.False(t, refused[chosen], "an arrival that said not run was granted")
			require.True(t, running == nil || running == chosen, "two arrivals hold the claim")
			require.LessOrEqual(t, p.now, chosen.claim.IssuedAt+window)
			running = chosen
		}
		// arrived lets the action work on one of the arrivals, if there are any.
		arrived := func(do func(t *rapid.T, chosen *arrival)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(arrivals) > 0 {
					do(t, rapid.SampledFrom(arrivals).Draw(t, "arrival"))
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
					ask(t, chosen)
				}
			},
			"ask": arrived(ask),
			"refuse": arrived(func(t *rapid.T, chosen *arrival) {
				if chosen.resolved {
					return
				}
				// The node has not let the request reach an engine, so the claim
				// may pass on.
				chosen.resolved, refused[chosen] = true, true
				p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: chosen.claim, NotRun: true}})
				if running == chosen {
					running = nil
				}
			}),
			"answer": arrived(func(t *rapid.T, chosen *arrival) {
				if chosen.resolved || running != chosen {
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

// ledgerModel plays nodes that complete samples and a trainer that takes them
// over, with lost answers, late copies and restarts.
type ledgerModel struct {
	pair
	staleness uint64
	newest    uint64
	epochs    map[string]uint64
	sequence  map[string]uint64
	work      []CompleteSamples
	submitted map[SampleKey]bool
	taken     map[SampleKey]bool
	step      uint64
	session   uint64
	fetches   uint64
	cursor    uint64
	held      uint64
	old       []Command
}

func newLedgerModel(t *rapid.T) *ledgerModel {
	m := &ledgerModel{
		pair: *newPair(), staleness: rapid.Uint64Range(0, 2).Draw(t, "staleness"), epochs: map[string]uint64{},
		sequence: map[string]uint64{}, submitted: map[SampleKey]bool{}, taken: map[SampleKey]bool{}, session: 1,
	}
	m.apply(t, Command{Apply: &Apply{ChangeID: "first", Pools: []PoolSpec{testSpec(m.staleness)}}})
	m.publish(t)
	m.register(t, "n1")
	m.register(t, "n2")
	return m
}

func (m *ledgerModel) publish(t *rapid.T) {
	m.newest++
	m.apply(t, Command{PublishVersion: &PublishVersion{Model: "model", Version: m.newest}})
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
	m.old = append(m.old, command)
}

func (m *ledgerModel) assign(t *rapid.T) {
	id := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
	m.sequence[id]++
	command := Command{AssignSamples: &AssignSamples{
		Pool: testPool, Node: id, Epoch: m.epochs[id], Sequence: m.sequence[id], Max: rapid.IntRange(1, 3).Draw(t, "max"),
	}}
	result := m.apply(t, command).Assign
	require.Equal(t, result, m.apply(t, command).Assign, "a resend gets the same samples")
	for _, assigned := range result.Samples {
		version := rapid.Uint64Range(max(1, m.newest-min(m.newest, 2)), m.newest).Draw(t, "version")
		m.work = append(m.work, CompleteSamples{Node: id, Epoch: m.epochs[id], Completions: []Completion{{
			Pool: testPool, Key: assigned.Key, Segments: []Segment{{Version: version, Count: 2}},
			Tokens: PackTokens([]uint32{1, 2}), Failed: rapid.IntRange(0, 5).Draw(t, "failed") == 0,
		}}})
	}
}

func (m *ledgerModel) complete(t *rapid.T) {
	if len(m.work) == 0 {
		return
	}
	// A result may come late and more than once.
	command := rapid.SampledFrom(m.work).Draw(t, "result")
	m.apply(t, Command{CompleteSamples: &command})
}

func (m *ledgerModel) fetch(t *rapid.T) {
	m.fetches++
	command := Command{Fetch: &Fetch{
		Pool: testPool, Session: m.session, Sequence: m.fetches, Cursor: m.cursor, HeldVersion: m.held,
		Max: rapid.IntRange(1, 5).Draw(t, "max"),
	}}
	result := m.apply(t, command).Fetch
	m.old = append(m.old, command)
	require.True(t, result.Valid)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	for _, delivery := range result.Deliveries {
		key := delivery.Completion.Key
		require.Greater(t, delivery.Number, m.cursor)
		require.True(t, m.submitted[key])
		require.False(t, m.taken[key], "%v came twice", key)
		require.GreaterOrEqual(t, delivery.Completion.OldestVersion()+m.staleness, max(m.newest, m.held))
		m.taken[key], m.cursor = true, delivery.Number
	}
	m.held = max(m.held, result.Newest)
}

func (m *ledgerModel) replay(t *rapid.T) {
	if len(m.old) == 0 {
		return
	}
	command := rapid.SampledFrom(m.old).Draw(t, "late copy")
	result := m.apply(t, command)
	if result.Fetch != nil {
		require.False(t, result.Fetch.Valid, "a late copy of a fetch was answered")
	}
}

// finish lets all that was submitted arrive.
func (m *ledgerModel) finish(t *rapid.T) {
	for round := 0; len(m.taken) < len(m.submitted); round++ {
		require.Less(t, round, 200, "samples are lost")
		m.register(t, "n1")
		m.register(t, "n2")
		m.sequence["n1"]++
		assigned := m.apply(t, Command{AssignSamples: &AssignSamples{
			Pool: testPool, Node: "n1", Epoch: m.epochs["n1"], Sequence: m.sequence["n1"], Max: 100,
		}}).Assign
		for _, sample := range assigned.Samples {
			m.apply(t, Command{CompleteSamples: &CompleteSamples{Node: "n1", Epoch: m.epochs["n1"], Completions: []Completion{{
				Pool: testPool, Key: sample.Key, Segments: []Segment{{Version: m.newest, Count: 1}}, Tokens: PackTokens([]uint32{7}),
			}}}})
		}
		m.fetch(t)
	}
}

// TestSamplesReachTheTrainerExactlyOnce plays the ledger against a set.
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
				m.fetches = 0
			},
			"wait":    func(t *rapid.T) { m.now += rapid.Int64Range(0, 1000).Draw(t, "millis") },
			"restore": func(t *rapid.T) { m.restore(t) },
		})
		m.finish(t)
	})
}

// TestDeltasBringANodeToTheMachinesCatalog: a node that takes in deltas from any
// revisions it has held, late and overlapping ones too, ends with its region's view.
func TestDeltasBringANodeToTheMachinesCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		known, revision := NewCatalog(), uint64(0)
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
				known.Merge(delta)
				revision = delta.To
				whole := NewCatalog()
				p.plain.copyAll(&whole, "here")
				require.Equal(t, encoded(t, whole), encoded(t, known))
			},
		})
	})
}

func TestValidatePoolsNamesTheField(t *testing.T) {
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

// FuzzDecodeCommand: bytes from a log give a command or an error, never a panic.
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

// FuzzRestore: a snapshot gives a machine or an error, never a panic.
func FuzzRestore(f *testing.F) {
	f.Add(NewMachine().Snapshot())
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Restore(data) })
}

// TestLateClaimOfARefusedAttempt: the refusals of two attempts come before the
// second one's Claim, which must not be granted any more.
func TestLateClaimOfARefusedAttempt(t *testing.T) {
	p := newPair()
	epoch := p.apply(t, Command{RegisterNode: &RegisterNode{ID: "n1", Incarnation: 1}}).Register.Epoch
	first := Claim{Key: "key", IssuedAt: 1000, Window: 1000, Attempt: 1, Node: "n1", Epoch: epoch, Nonce: 1}
	second := first
	second.Attempt, second.Nonce = 2, 2
	p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: first, NotRun: true}})
	p.apply(t, Command{ResolveClaim: &ResolveClaim{Claim: second, NotRun: true}})
	require.Equal(t, ClaimDuplicate, p.apply(t, Command{Claim: &second}).Claim.Outcome)
}

// TestMovedEngineLeavesItsOldRegion: nodes of the region that an engine has
// left forget it, and its owner there owns it no more.
func TestMovedEngineLeavesItsOldRegion(t *testing.T) {
	p := newPair()
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
