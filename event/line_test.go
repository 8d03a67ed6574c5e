package event

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestLongTextsAreShortened checks that a line is short whatever texts clients choose, and that other texts are whole.
func TestLongTextsAreShortened(t *testing.T) {
	var out bytes.Buffer
	logger := zerolog.New(&out)
	for _, text := range []string{strings.Repeat("x", 1<<20), strings.Repeat("ș", 1<<20), strings.Repeat("\x80", 1<<20)} {
		out.Reset()
		RequestEnded.On(&logger).Str("request", text).Err(errors.New(text)).Send()
		// A byte may take six when it is escaped.
		require.Less(t, out.Len(), 2*6*maxTextBytes+200)
		require.True(t, utf8.Valid(out.Bytes()))
	}
	out.Reset()
	whole := strings.Repeat("x", maxTextBytes)
	RequestEnded.On(&logger).Str("request", whole).Err(nil).Send()
	require.Contains(t, out.String(), `"`+whole+`"`)
	require.NotContains(t, out.String(), "error")
}
