package pack

import (
	"bytes"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const most = 1 << 20

// TestRoundTrip: whatever the message holds, and however large it is.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := append([]byte{0xa1}, rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "message")...)
		packed := Pack(message)
		require.LessOrEqual(t, len(packed), len(message))
		unpacked, err := Unpack(packed, most)
		require.NoError(t, err)
		require.Equal(t, message, unpacked)
	})
}

// TestTextsBecomeSmaller: by what letters and digits leave unused of a byte.
func TestTextsBecomeSmaller(t *testing.T) {
	message := append([]byte{0xa1}, bytes.Repeat([]byte("some words of a text, and "), 100)...)
	require.Less(t, len(Pack(message)), len(message)/2)
}

// TestDamagedMessages: a cut one, and one that would take too much memory, are
// refused.
func TestDamagedMessages(t *testing.T) {
	packed := Pack(append([]byte{0xa1}, make([]byte, 10000)...))
	_, err := Unpack(packed[:len(packed)/2], most)
	require.True(t, errorx.IsOfType(err, ErrDamaged))
	_, err = Unpack(packed, 9999)
	require.Error(t, err)
	empty, err := Unpack(nil, most)
	require.NoError(t, err)
	require.Empty(t, empty)
}
