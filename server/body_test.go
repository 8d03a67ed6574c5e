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

// TestBodiesAreBounded: what one caller holds is not there for another, and comes
// back when it is released, or when the body could not be read.
func TestBodiesAreBounded(t *testing.T) {
	g := &Gateway{settings: config.Gateway{Process: config.Process{MemoryLimit: 1}}}
	half := strings.Repeat("x", int(g.bodyLimit())*2/3)
	first, release, err := g.ReadBody(strings.NewReader(half))
	require.NoError(t, err)
	require.Equal(t, half, string(first))
	_, _, err = g.ReadBody(strings.NewReader(half))
	require.True(t, errorx.IsOfType(err, ErrOverloaded))
	broken := errors.New("broken")
	_, _, err = g.ReadBody(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(broken)))
	require.ErrorIs(t, err, broken)
	release()
	require.Zero(t, g.bodyBytes.Load())
	_, release, err = g.ReadBody(strings.NewReader(half))
	require.NoError(t, err)
	release()
}
