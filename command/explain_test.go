package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplain checks that the lines of several processes with an ID are printed
// in time order, and other lines are skipped.
func TestExplain(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	storeLog := write("store-1.log", `not a line of a log s-1
{"level":"info","event":6005,"sample":"s-1","engine":"e","events":4,"time":2300,"message":"sample run ended"}
{"level":"info","event":6004,"sample":"s-10","engine":"e","time":2100,"message":"sample started on an engine"}
{"level":"warn","event":6006,"sample":"s-1","reason":"overdue","time":2400,"message":"sample failed permanently"}
`)
	gatewayLog := write("gateway-1.log", `{"level":"info","event":6004,"sample":"s-1","engine":"e","time":2000,"message":"sample started on an engine"}
`)
	var output, errorOutput bytes.Buffer
	code := Run(context.Background(), "dillchute", "", "", &root{}, []string{"explain", "s-1", storeLog, gatewayLog}, Streams{Out: &output, Err: &errorOutput})
	require.Equal(t, exitSuccess, code, errorOutput.String())
	require.Equal(t, `00:00:02.000  +0 ms  gateway-1  info 6004  sample started on an engine  engine=e  sample=s-1
00:00:02.300  +300 ms  store-1  info 6005  sample run ended  engine=e  events=4  sample=s-1
00:00:02.400  +400 ms  store-1  warn 6006  sample failed permanently  reason=overdue  sample=s-1
`, output.String())
	code = Run(context.Background(), "dillchute", "", "", &root{}, []string{"explain", "none", storeLog}, Streams{Out: &output, Err: &errorOutput})
	require.Equal(t, exitFailed, code)
}
