package golden

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

type filled struct {
	Number uint8
	Flag   bool
	Text   string
	List   []filled
	Table  map[int64]*[]string
	Inner  struct{ Share float64 }
	hidden int
}

// TestFilledSetsAllFields checks that only unexported fields and recursive types stay zero.
func TestFilledSetsAllFields(t *testing.T) {
	value := Filled(filled{})
	require.NotZero(t, value.Number)
	require.True(t, value.Flag)
	require.NotEmpty(t, value.Text)
	require.Equal(t, []filled{{}, {}}, value.List)
	require.Len(t, value.Table, 1)
	for _, texts := range value.Table {
		require.Len(t, *texts, listLength)
		require.NotEqual(t, (*texts)[0], (*texts)[1])
	}
	require.NotZero(t, value.Inner.Share)
	require.Zero(t, value.hidden)
	require.Equal(t, value, Filled(filled{}))
}

// TestCanonicalComparesValues checks that Canonical ignores the order of map keys, and CanonicalSet
// also the order of lists, but no other differences.
func TestCanonicalComparesValues(t *testing.T) {
	encode := func(values ...any) []byte {
		var all []byte
		for _, value := range values {
			data, err := cbor.Marshal(value)
			require.NoError(t, err)
			all = append(all, data...)
		}
		return all
	}
	type forwards struct {
		One int   `cbor:"1,keyasint"`
		Two []int `cbor:"2,keyasint"`
	}
	type backwards struct {
		Two []int `cbor:"2,keyasint"`
		One int   `cbor:"1,keyasint"`
	}
	reference := encode(forwards{1, []int{3, 4}})
	require.Equal(t, Canonical(t, reference), Canonical(t, encode(backwards{[]int{3, 4}, 1})))
	require.NotEqual(t, Canonical(t, reference), Canonical(t, encode(backwards{[]int{4, 3}, 1})))
	require.Equal(t, CanonicalSet(t, reference), CanonicalSet(t, encode(backwards{[]int{4, 3}, 1})))
	require.NotEqual(t, CanonicalSet(t, reference), CanonicalSet(t, encode(backwards{[]int{4, 5}, 1})))
	require.NotEqual(t, Canonical(t, reference), Canonical(t, encode(forwards{1, []int{3, 4}}, 5)))
}
