package golden

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/internal/pack"
)

// maxUnpackedBytes limits the size of unpacked data.
const maxUnpackedBytes = 1 << 20

// RequireCompatible requires that all has every field of known with the same value. Its other fields
// must be empty unless -golden.read is set. Both arguments are JSON.
func RequireCompatible(t *testing.T, known, all []byte) {
	var knownFields, allFields any
	require.NoError(t, json.Unmarshal(known, &knownFields))
	require.NoError(t, json.Unmarshal(all, &allFields))
	requireCompatible(t, "", knownFields, allFields)
}

func requireCompatible(t *testing.T, path string, known, all any) {
	switch known := known.(type) {
	case map[string]any:
		allFields, ok := all.(map[string]any)
		require.True(t, ok, "%s: %v", path, all)
		for _, name := range slices.Sorted(maps.Keys(known)) {
			require.Contains(t, allFields, name, path)
			requireCompatible(t, path+"."+name, known[name], allFields[name])
		}
		for _, name := range slices.Sorted(maps.Keys(allFields)) {
			if _, ok := known[name]; !ok && *readFrom == "" {
				require.True(t, isEmpty(allFields[name]), "%s.%s: %v", path, name, allFields[name])
			}
		}
	case []any:
		allElements, ok := all.([]any)
		require.True(t, ok && len(allElements) == len(known), "%s: %v", path, all)
		for position := range known {
			requireCompatible(t, path+"[]", known[position], allElements[position])
		}
	default:
		require.Equal(t, known, all, path)
	}
}

func isEmpty(value any) bool { return value == nil || reflect.ValueOf(value).IsZero() }

var canonicalMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("golden: invalid encoder options: " + err.Error())
	}
	return mode
}()

// Canonical returns the deterministic encoding of a sequence of CBOR items, which may be packed.
func Canonical(t *testing.T, data []byte) []byte { return canonical(t, data, false) }

// CanonicalSet is like Canonical but ignores the order of lists.
func CanonicalSet(t *testing.T, data []byte) []byte { return canonical(t, data, true) }

func canonical(t *testing.T, data []byte, sorted bool) []byte {
	unpacked, err := pack.Unpack(data, maxUnpackedBytes)
	require.NoError(t, err)
	var result []byte
	for len(unpacked) > 0 {
		var item any
		unpacked, err = cbor.UnmarshalFirst(unpacked, &item)
		require.NoError(t, err)
		if sorted {
			sortLists(t, item)
		}
		result = append(result, encoded(t, item)...)
	}
	return result
}

func sortLists(t *testing.T, item any) {
	switch item := item.(type) {
	case map[any]any:
		for _, element := range item {
			sortLists(t, element)
		}
	case []any:
		for _, element := range item {
			sortLists(t, element)
		}
		slices.SortFunc(item, func(a, b any) int { return bytes.Compare(encoded(t, a), encoded(t, b)) })
	}
}

func encoded(t *testing.T, item any) []byte {
	data, err := canonicalMode.Marshal(item)
	require.NoError(t, err)
	return data
}
