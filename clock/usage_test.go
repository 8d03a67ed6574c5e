package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkedPackages are the packages whose correctness depends on elapsed time.
var checkedPackages = []string{
	"consensus", "control", "directory", "duty", "forward", "intake", "ledger", "node", "platform", "quarantine",
	"replica", "runner", "scheduler", "server", "state", "usage",
}

// allowedReadings lists the allowed readings of package time's clock in those packages, with the
// reason.
var allowedReadings = map[string]struct {
	count  int
	reason string
}{
	"forward/choose.go":            {3, "how long a backend is avoided and its latency is valid"},
	"forward/suspects.go":          {2, "how long a backend is avoided, or counts as restarting"},
	"forward/forward.go":           {2, "backend latency, which must not include suspensions of this machine"},
	"forward/stream.go":            {2, "backend latency, which must not include suspensions of this machine"},
	"intake/body.go":               {1, "a connection deadline"},
	"intake/conn.go":               {5, "connection deadlines"},
	"intake/early.go":              {1, "a connection deadline"},
	"intake/listener.go":           {1, "a connection deadline"},
	"intake/server.go":             {1, "a connection deadline"},
	"replica/admission.go":         {2, "the wait during a graceful shutdown"},
	"replica/transfer_progress.go": {2, "deadlines of reads from a connection"},
	"runner/serverlink.go":         {4, "the interval between reports, and connection deadlines"},
	"server/callers.go":            {2, "a write deadline, and wall clock timestamps of requests"},
	"server/checkpoint.go":         {2, "the interval between checkpoints"},
	"server/control.go":            {4, "a random seed, the wait during a graceful shutdown, and the wall clock next to the monotonic clock"},
	"server/directory_call.go":     {3, "a metric, and the delay before the first group is formed"},
	"server/directory_review.go":   {5, "the delay before the first group is formed, and the wall clock"},
	"server/active_run.go":         {2, "a metric"},
	"server/gateway.go":            {1, "the wait for the first configuration"},
	"server/heartbeat.go":          {4, "the interval between readings of the wall clock, the reading, and the wall clock compared with backend start times"},
	"server/ledger.go":             {2, "the interval between registrations"},
	"server/ledger_client.go":      {2, "how long a replica is avoided"},
	"server/reschedule.go":         {2, "the interval between checks"},
	"server/node.go":               {2, "the wait during a graceful shutdown"},
	"server/paces.go":              {2, "the interval between records"},
	"server/record.go":             {5, "the interval between records, and a metric"},
	"server/heartbeat_log.go":      {1, "the interval between log lines"},
	"server/watch.go":              {1, "the time that a context leaves for one of several attempts"},
	"server/leadership.go":         {4, "the interval between checks"},
}

// countReadings counts the readings of package time's clock in a file.
func countReadings(t *testing.T, path string) int {
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	count := 0
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if ok && qualifier.Name == "time" && (selector.Sel.Name == "Now" || selector.Sel.Name == "Since" || selector.Sel.Name == "Until") {
			count++
		}
		return true
	})
	return count
}

// TestOnlyListedReadingsOfPackageTime guards against measuring leases and deadlines with a clock that
// stops while the machine is suspended.
func TestOnlyListedReadingsOfPackageTime(t *testing.T) {
	seen := map[string]bool{}
	for _, folder := range checkedPackages {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, folder)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			name := filepath.ToSlash(filepath.Join(folder, filepath.Base(path)))
			allowed := allowedReadings[name]
			require.Equal(t, allowed.count, countReadings(t, path), "%s reads package time's clock: %q", name, allowed.reason)
			seen[name] = true
		}
	}
	for name := range allowedReadings {
		require.True(t, seen[name], "%s is listed but does not exist", name)
	}
}
