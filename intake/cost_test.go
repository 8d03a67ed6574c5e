package intake

import (
	"encoding/json"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// entry is a struct as they occur in lists of messages.
type entry struct {
	Name  string            `cbor:"1,keyasint" json:"name"`
	Data  []byte            `cbor:"2,keyasint" json:"data"`
	Names map[string]string `cbor:"3,keyasint" json:"names"`
	Next  *entry            `cbor:"4,keyasint" json:"next"`
	Kinds []string          `cbor:"5,keyasint" json:"kinds"`
	Count [8]uint64         `cbor:"-" json:"-"`
}

// allocated returns the bytes that the function allocates.
func allocated(function func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	function()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestDecodedMessagesTakeNoMoreThanEstimated decodes messages that expand most, and compares what that allocates, of which a
// third is garbage of slices that grow, with the estimate.
func TestDecodedMessagesTakeNoMoreThanEstimated(t *testing.T) {
	const count = 20_000
	fields := map[string]string{}
	entries := make([]entry, count)
	for number := range count {
		fields[string(rune(number+0x4e00))] = ""
		entries[number].Name = "n"
	}
	for name, message := range map[string]any{
		"empty entries": make([]map[int]int, count), "nothing": make([]*int, count), "entries": entries,
		"one map": []entry{{Names: fields}}, "texts": []entry{{Kinds: make([]string, count)}}, "bytes": []entry{{Data: make([]byte, count)}},
	} {
		encoded, err := cbor.Marshal(message)
		require.NoError(t, err)
		var decoded []entry
		require.LessOrEqual(t, allocated(func() { require.NoError(t, cbor.Unmarshal(encoded, &decoded)) }), 2*CBORMemory(encoded), "%s in CBOR", name)
		text, err := json.Marshal(message)
		require.NoError(t, err)
		decoded = nil
		require.LessOrEqual(t, allocated(func() { require.NoError(t, json.Unmarshal(text, &decoded)) }), 2*JSONMemory(text), "%s in JSON", name)
	}
}

// TestAnyBytesHaveAnEstimate checks that the estimate ends, and covers the bytes, whatever they are.
func TestAnyBytesHaveAnEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		require.GreaterOrEqual(t, CBORMemory(data), int64(len(data)))
		require.GreaterOrEqual(t, JSONMemory(data), int64(len(data)))
	})
}
