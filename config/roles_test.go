package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCopyLimit checks that copy_limit values that are too low are rejected and that 0 disables the limit.
func TestCopyLimit(t *testing.T) {
	const gateway = `
name: gateway-1
zone: a
internal_address: 127.0.0.1:7001
caller_address: 127.0.0.1:7002
ready_address: 127.0.0.1:7003
peers: [127.0.0.1:7000]
`
	for text, want := range map[string]time.Duration{"": 2 * time.Second, "copy_limit: 0s\n": 0, "copy_limit: 2500ms\n": 2500 * time.Millisecond} {
		settings, err := LoadGateway(writeSettings(t, gateway+text))
		require.NoError(t, err, text)
		require.Equal(t, want, settings.CopyLimit)
	}
	for _, text := range []string{"copy_limit: 300ms\n", "copy_limit: -1s\n"} {
		_, err := LoadGateway(writeSettings(t, gateway+text))
		require.ErrorContains(t, err, "copy_limit: must be 0, or at least 1s")
	}
}
