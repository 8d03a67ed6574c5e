package directory

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/internal/golden"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/usage"
)

// TestGoldenCommands checks that commands, results and snapshots of earlier builds can be read.
func TestGoldenCommands(t *testing.T) {
	decode := func(data []byte, into any) error { return cbor.Unmarshal(data, into) }
	encode := func(value any) []byte {
		data, err := deterministic.Marshal(value)
		if err != nil {
			panic(err)
		}
		return data
	}
	golden.Check(t, []golden.Kind{
		{Name: "Command", Zero: Command{}, IsUnion: true, Encode: encode, Decode: decode},
		{Name: "Result", Zero: Result{}, Encode: encode, Decode: decode},
		{Name: "contents", Zero: contents{}, Encode: encode, Decode: decode},
	})
}

// goldenSince is the revision after which the partial delta holds changes.
const goldenSince = 20

// goldenDeltas are the encoded deltas after a golden log.
type goldenDeltas struct {
	Full    string `json:"full"`
	Partial string `json:"partial"`
}

// TestGoldenLog checks that logs of earlier builds yield the deltas that these builds sent.
func TestGoldenLog(t *testing.T) {
	newMachine := func() golden.Machine { return NewMachine() }
	golden.CheckLog(t, newMachine, goldenEntries(), func(t *testing.T, file string, applied golden.Machine) {
		machine := applied.(*Machine)
		full, err := cbor.Marshal(machine.DeltaFor(Watch{}))
		require.NoError(t, err)
		partial, err := cbor.Marshal(machine.DeltaFor(Watch{Since: goldenSince}))
		require.NoError(t, err)
		file = strings.Replace(file, "log-", "deltas-", 1)
		if _, ok := golden.OutputFile(); ok {
			golden.WriteJSON(t, file, goldenDeltas{hex.EncodeToString(full), hex.EncodeToString(partial)})
			return
		}
		var expected goldenDeltas
		golden.ReadJSON(t, file, &expected)
		requireSameDelta(t, golden.DecodeHex(t, expected.Full), full)
		requireSameDelta(t, golden.DecodeHex(t, expected.Partial), partial)
	})
}

// requireSameDelta fails unless both encoded deltas are equal, regardless of the order in lists.
func requireSameDelta(t *testing.T, expected, actual []byte) {
	require.Equal(t, golden.CanonicalSet(t, expected), golden.CanonicalSet(t, actual))
	var delta Delta
	require.NoError(t, cbor.Unmarshal(expected, &delta))
	reencoded, err := cbor.Marshal(delta)
	require.NoError(t, err)
	require.Equal(t, golden.Canonical(t, expected), golden.Canonical(t, reencoded))
}

func goldenEntries() [][]byte {
	entries := [][]byte{[]byte("no command")}
	for _, command := range goldenCommands() {
		entries = append(entries, command.Encode())
	}
	return entries
}

// goldenCommands returns commands of each kind, with and without an effect.
func goldenCommands() []Command {
	var commands []Command
	commands = append(commands, goldenConfigurations()...)
	commands = append(commands, goldenBackends()...)
	commands = append(commands, goldenStores()...)
	commands = append(commands, goldenSuspects()...)
	return append(commands,
		Command{NameVersion: &ModelVersion{Model: "model", Version: 3}},
		Command{NameVersion: &ModelVersion{Model: "model", Version: 2}},
		Command{CountUsage: []usage.Totals{{Source: "gateway-1", Window: 4, Counts: usage.Counts{"tenant": 7}}, {Source: "gateway-2", Window: 4, Counts: usage.Counts{"tenant": 1}}}},
		Command{FixUsage: 4},
		Command{CountUsage: []usage.Totals{{Source: "gateway-1", Window: 5, Counts: usage.Counts{"tenant": 2}}}},
		Command{FixUsage: 5},
		Command{CountUsage: []usage.Totals{{Source: "gateway-3", Window: 4, Counts: usage.Counts{"tenant": 5}}}},
		Command{ToldUsage: 4},
		Command{CountUsage: []usage.Totals{{Source: "gateway-1", Window: 6, Counts: usage.Counts{"tenant": 9}}}},
		Command{Act: &duty.Action{Subject: "duty", Holder: "directory-1", At: 12}},
		Command{Act: &duty.Action{Subject: "duty", Holder: "directory-2", At: 15}},
		Command{PutZone: &ReplicaZone{Address: "127.0.0.1:1", Zone: "a"}},
		Command{PutZone: &ReplicaZone{Address: "127.0.0.1:1", Zone: "b"}},
	)
}

func goldenConfigurations() []Command {
	route := routing.Route{Name: "route", Host: "host", Prefix: "/", Kind: routing.Streaming, Resumable: true, Shares: []routing.Share{{Service: "chat", Weight: 0.5}}, TimeoutMillis: 900, Attempts: 3}
	steps := routing.Route{Name: "steps", Host: "steps", Prefix: "/", Kind: routing.Rollout, Shares: []routing.Share{{Service: "engine", Weight: 1}}, DueMillis: 60000, SingleVersion: true}
	first := routing.Configuration{
		Version: 1, Routes: []routing.Route{route, steps}, Limits: routing.Limits{HeaderBytes: 100, BodyBytes: 1000},
		Services: []routing.Service{{Name: "chat", MaxConnections: 4}, {Name: "engine", Models: []string{"model"}, EventTokens: 2}, {Name: "old"}},
		Tenants:  []routing.Tenant{{Name: "tenant", Keys: []string{"key"}, Priority: 2, Ranked: true}, {Name: "former", Keys: []string{"other"}}},
	}
	second := first
	second.Version, second.Services, second.Tenants, second.Limits.BodyBytes = 2, first.Services[:2], first.Tenants[:1], 2000
	return []Command{
		{PutConfiguration: &PutConfiguration{Configuration: first, Source: []byte("first")}},
		{PutConfiguration: &PutConfiguration{Configuration: second, Source: []byte("second")}},
		{PutConfiguration: &PutConfiguration{Configuration: first, Source: []byte("first")}},
	}
}

func goldenBackends() []Command {
	backend := func(name string, startTime int64) Backend {
		created := Backend{Service: "chat", Address: name + ":1", Zone: "a", Slots: 4, Name: name, Born: startTime, Models: []ModelVersion{{Model: "model", Version: 2}}}
		created.ID = created.Name + "-1"
		return created
	}
	draining, silent, restarted := backend("one", 10), backend("two", 10), backend("one", 20)
	draining.Draining, silent.Silent, restarted.ID = true, true, "one-2"
	return []Command{
		{PutBackend: &Backend{ID: "plain", Service: "engine", Address: "plain:1", Zone: "b", Slots: 1}},
		{Batch: []Command{{PutBackend: ptr(backend("one", 10))}, {PutBackend: ptr(backend("two", 10))}, {PutBackend: ptr(backend("three", 10))}}},
		{PutBackend: &draining}, {PutBackend: &silent}, {PutBackend: &restarted}, {PutBackend: ptr(backend("one", 10))},
		{RemoveBackend: &RemoveBackend{ID: "plain"}},
		{RemoveBackend: &RemoveBackend{Name: "three", Born: 10}},
		{RemoveBackend: &RemoveBackend{Name: "four", LatestBirth: 30}},
		{PutBackend: ptr(backend("three", 10))}, {PutBackend: ptr(backend("four", 20))}, {PutBackend: ptr(backend("four", 40))},
	}
}

func goldenStores() []Command {
	member := func(id consensus.ReplicaID) consensus.Member {
		return consensus.Member{ID: id, Address: "store", Voter: true}
	}
	return []Command{
		{PutStore: &Store{Name: "store-1", Address: "store-1:1", Zone: "a", Replica: 1, Fresh: true}},
		{PutStore: &Store{Name: "store-2", Address: "store-2:1", Zone: "b", Replica: 2}},
		{FormGroup: &Group{Members: []consensus.Member{member(1), member(2)}, Number: 1}},
		{Retire: &Retire{Name: "store-1", Replicas: 2}},
		{Retire: &Retire{Name: "store-9", Replicas: 1}},
		{Retire: &Retire{Name: "store-1", Replicas: 1}},
		{ReportGroup: &Group{Members: []consensus.Member{member(2)}, Number: 3}},
		{ReportGroup: &Group{Members: []consensus.Member{member(1)}, Number: 2}},
	}
}

// goldenSuspects returns crashes, and the commands that refer to suspects by revision.
func goldenSuspects() []Command {
	crash := func(request, backend string, known int, content string) Command {
		return Command{Crashes: []quarantine.Crash{{Fingerprint: quarantine.Fingerprint(request), Backend: backend, Known: known, Of: quarantine.Fingerprint(content)}}}
	}
	commands := []Command{
		crash("content", "a", 0, ""), crash("content", "b", 1, ""), crash("content", "c", 2, ""), crash("content", "c", 3, ""),
		crash("kind", "a", 0, "content"), crash("kind", "d", 0, "other"), crash("kind", "e", 1, "other"), crash("kind", "f", 2, "third"),
		crash("answered", "a", 0, ""), crash("forgotten", "a", 0, ""),
		{Answered: []quarantine.Fingerprint{"answered", "unknown"}},
	}
	// The commands name every revision that the suspects may have.
	for revision := uint64(1); revision < 60; revision++ {
		commands = append(commands,
			Command{ForgetSuspect: &SuspectRevision{Fingerprint: "forgotten", Revision: revision}},
			Command{OfferTrial: &SuspectRevision{Fingerprint: "content", Revision: revision}},
		)
	}
	return append(commands, Command{TakeTrial: "content"}, Command{TakeTrial: "content"}, Command{TakeTrial: "kind"})
}

func ptr[T any](value T) *T { return &value }
