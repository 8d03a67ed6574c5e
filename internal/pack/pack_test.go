package pack

import (
	"bytes"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const maxBytes = 1 << 20

// TestRoundTrip checks that Unpack reverses Pack and that Pack never enlarges a message.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := append([]byte{0xa1}, rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "message")...)
		packed := Pack(message)
		require.LessOrEqual(t, len(packed), len(message))
		unpacked, err := Unpack(packed, maxBytes)
		require.NoError(t, err)
		require.Equal(t, message, unpacked)
	})
}

// TestTextCompresses checks that text is compressed to less than half its size.
func TestTextCompresses(t *testing.T) {
	message := append([]byte{0xa1}, bytes.Repeat([]byte("some words of a text, and "), 100)...)
	require.Less(t, len(Pack(message)), len(message)/2)
}

// TestCorruptMessages checks that truncated and oversized messages are rejected.
func TestCorruptMessages(t *testing.T) {
	packed := Pack(append([]byte{0xa1}, make([]byte, 10000)...))
	_, err := Unpack(packed[:len(packed)/2], maxBytes)
	require.True(t, errorx.IsOfType(err, ErrCorrupt))
	_, err = Unpack(packed, 9999)
	require.Error(t, err)
	empty, err := Unpack(nil, maxBytes)
	require.NoError(t, err)
	require.Empty(t, empty)
}
