package server

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
)

// TestBodyMemoryIsBounded checks that a body is refused while other bodies use the memory, and that memory is
// released by the returned function and after a read error.
func TestBodyMemoryIsBounded(t *testing.T) {
	gateway := &Gateway{settings: config.Gateway{Process: config.Process{MemoryLimit: 1}}}
	body := strings.Repeat("x", int(gateway.bodyLimit())*2/3)
	first, release, err := gateway.ReadBody(strings.NewReader(body))
	require.NoError(t, err)
	require.Equal(t, body, string(first))
	_, _, err = gateway.ReadBody(strings.NewReader(body))
	require.True(t, errorx.IsOfType(err, ErrOverloaded))
	readError := errors.New("broken")
	_, _, err = gateway.ReadBody(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(readError)))
	require.ErrorIs(t, err, readError)
	release()
	require.Zero(t, gateway.bodyBytes.Load())
	_, release, err = gateway.ReadBody(strings.NewReader(body))
	require.NoError(t, err)
	release()
}
