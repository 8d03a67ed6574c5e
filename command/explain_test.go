package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplain: the lines of several processes that name an ID come in the order
// of their time, whatever else stands in the files.
func TestExplain(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	store := write("store-1.log", `not a line of a log s-1
{"level":"info","event":6005,"sample":"s-1","engine":"e","events":4,"time":2300,"message":"sample run ended"}
{"level":"info","event":6004,"sample":"s-10","engine":"e","time":2100,"message":"sample started on an engine"}
{"level":"warn","event":6006,"sample":"s-1","reason":"overdue","time":2400,"message":"sample failed permanently"}
`)
	gateway := write("gateway-1.log", `{"level":"info","event":6004,"sample":"s-1","engine":"e","time":2000,"message":"sample started on an engine"}
`)
	var out, errors bytes.Buffer
	code := Run(context.Background(), "dillchute", "", "", &root{}, []string{"explain", "s-1", store, gateway}, Streams{Out: &out, Err: &errors})
	require.Equal(t, exitDone, code, errors.String())
	require.Equal(t, `00:00:02.000  +0 ms  gateway-1  info 6004  sample started on an engine  engine=e  sample=s-1
00:00:02.300  +300 ms  store-1  info 6005  sample run ended  engine=e  events=4  sample=s-1
00:00:02.400  +400 ms  store-1  warn 6006  sample failed permanently  reason=overdue  sample=s-1
`, out.String())
	code = Run(context.Background(), "dillchute", "", "", &root{}, []string{"explain", "none", store}, Streams{Out: &out, Err: &errors})
	require.Equal(t, exitFailed, code)
}
