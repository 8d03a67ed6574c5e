package plays

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testBounds = Bounds{CatchUp: 6, Contact: 4, ConfigApply: 2.5, Grace: 8, LongestWait: 10, Length: 42, Tolerated: 2}

// findingsOf returns the names of the checks that report findings for the log, in order of time.
func findingsOf(t *testing.T, lines ...string) []string {
	t.Helper()
	log, err := ReadLog(strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	var names []string
	for _, finding := range RunChecks(log, testBounds) {
		names = append(names, finding.Check)
	}
	return names
}

// checkTest is a log and the one check that must report a finding; none if wantCheck is empty.
type checkTest struct {
	name      string
	wantCheck string
	log       []string
}

func runCheckTests(t *testing.T, cases []checkTest) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			found := findingsOf(t, test.log...)
			if test.wantCheck == "" {
				require.Empty(t, found)
				return
			}
			require.Equal(t, []string{test.wantCheck}, found)
		})
	}
}

const (
	gatewayStarted       = `-13.9 front-a-1 {"event":7002,"name":"front-a-1"}`
	appliedVersion4      = `1.0 front-a-1 {"event":5011,"version":4,"revision":20}`
	acknowledgedVersion5 = `10.0 core-a-1 {"event":5005,"offered":5,"held":5}`
	lastLine             = `50.0 front-b-1 {"event":5017}`
)

func TestLateConfiguration(t *testing.T) {
	runCheckTests(t, []checkTest{
		{"applied in time", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `12.4 front-a-1 {"event":5011,"version":5}`, lastLine}},
		{"later version applied in time", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `12.4 front-a-1 {"event":5011,"version":8}`, lastLine}},
		{"never applied", "configuration-late", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, lastLine}},
		{"applied too late", "configuration-late", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `13.0 front-a-1 {"event":5011,"version":5}`, lastLine}},
		{"not acknowledged", "", []string{gatewayStarted, appliedVersion4, `10.0 core-a-1 {"event":5005,"offered":5,"held":5,"error":"no leader"}`, lastLine}},
		{"offered version is older", "", []string{gatewayStarted, appliedVersion4, `10.0 core-a-1 {"event":5005,"offered":3,"held":4}`, lastLine}},
		{"gateway disrupted", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `16.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"    11.0 s to     13.0 s  node_freeze front-a-1"}},
		{"connected again after disruption", "configuration-late", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `18.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"    11.0 s to     13.0 s  node_freeze front-a-1"}},
		{"disruption not listed by name", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `16.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"    11.0 s to     13.0 s  node_freeze front-b-1, front-b-2 and 3 more"}},
		{"closing of the day", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `16.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"    11.0 s to     13.0 s  closing (power_off_all) core-a-1, core-b-2 and 72 more"}},
		{"other class disrupted", "configuration-late", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `16.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"    11.0 s to     13.0 s  roll_term store-a-1, store-b-2 and 7 more"}},
		{"core unstable", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `16.0 front-a-1 {"event":5011,"version":5}`, lastLine,
			"the core was not stable: 11.000 to 16.500, 20.000 to 26.000"}},
		{"shut down before the bound", "", []string{gatewayStarted, appliedVersion4, acknowledgedVersion5, `12.0 front-a-1 {"event":7003}`, `15.6 front-a-1 {"event":7004,"in_flight":0}`, lastLine}},
	})
}

func TestConfigurationRollback(t *testing.T) {
	runCheckTests(t, []checkTest{
		{"newer version", "", []string{gatewayStarted, appliedVersion4, `2.0 front-a-1 {"event":5011,"version":5}`, lastLine}},
		{"older version", "configuration-back", []string{gatewayStarted, appliedVersion4, `2.0 front-a-1 {"event":5011,"version":3}`, lastLine}},
		{"older version after restart", "", []string{gatewayStarted, appliedVersion4, `2.0 front-a-1 {"event":7002}`, `2.1 front-a-1 {"event":5011,"version":3}`, lastLine}},
	})
}

func TestLateShutdown(t *testing.T) {
	shutdownStarted := `10.0 front-a-1 {"event":7003,"in_flight":2}`
	runCheckTests(t, []checkTest{
		{"in time", "", []string{gatewayStarted, shutdownStarted, `13.6 front-a-1 {"event":7004,"in_flight":0}`, lastLine}},
		{"cut at the end of the grace period", "", []string{gatewayStarted, shutdownStarted, `17.4 front-a-1 {"event":7004,"in_flight":1}`, lastLine}},
		{"does not end", "stop-late", []string{gatewayStarted, shutdownStarted, lastLine}},
		{"ends late", "stop-late", []string{gatewayStarted, shutdownStarted, `18.5 front-a-1 {"event":7004,"in_flight":0}`, lastLine}},
		{"cut before the end of the grace period", "stop-late", []string{gatewayStarted, shutdownStarted, `14.0 front-a-1 {"event":7004,"in_flight":1}`, lastLine}},
		{"killed during shutdown", "", []string{gatewayStarted, shutdownStarted, lastLine, "    11.0 s to     13.0 s  node_kill (power) front-a-1"}},
		{"shutdown itself is not exempt", "stop-late", []string{gatewayStarted, shutdownStarted, lastLine, "    10.0 s to     13.0 s  roll_term front-a-1"}},
		{"log ends before the grace period", "", []string{gatewayStarted, shutdownStarted, `12.0 front-b-1 {"event":5017}`}},
	})
}

func TestRequestAfterShutdown(t *testing.T) {
	shutdownStarted := []string{gatewayStarted, `10.0 front-a-1 {"event":7003,"in_flight":0}`}
	request := `17.5 front-a-1 {"event":7001,"request":"r","ms":20}`
	runCheckTests(t, []checkTest{
		{"before the end of shutdown", "", append(shutdownStarted, `13.0 front-a-1 {"event":7001,"request":"r","ms":20}`, `13.6 front-a-1 {"event":7004,"in_flight":0}`, lastLine)},
		{"after the end of shutdown", "taken-after-stop", append(shutdownStarted, `17.4 front-a-1 {"event":7004,"in_flight":0}`, request, lastLine)},
		{"in flight at the end of shutdown", "", append(shutdownStarted, `17.4 front-a-1 {"event":7004,"in_flight":1}`, request, lastLine)},
		{"after restart", "", append(shutdownStarted, `13.6 front-a-1 {"event":7004,"in_flight":0}`, `14.0 front-a-1 {"event":7002}`, request, lastLine)},
	})
}

func TestConflictingLeaders(t *testing.T) {
	leadershipGained := `1.0 core-a-1 {"event":1003,"term":2}`
	runCheckTests(t, []checkTest{
		{"different terms", "", []string{leadershipGained, `2.0 core-b-1 {"event":1003,"term":3}`, lastLine}},
		{"same term", "two-leaders", []string{leadershipGained, `2.0 core-b-1 {"event":1003,"term":2}`, lastLine}},
		{"same term in two groups", "", []string{leadershipGained, `2.0 store-b-1 {"event":1003,"term":2}`, lastLine}},
	})
}

func TestNonMemberReplica(t *testing.T) {
	replicaStarted := `10.0 core-a-1 {"event":1010,"replica":7}`
	runCheckTests(t, []checkTest{
		{"admitted", "", []string{replicaStarted, `10.5 core-a-1 {"event":1012,"members":6}`, lastLine}},
		{"not admitted", "replica-outside", []string{replicaStarted, lastLine}},
		{"admitted late", "replica-outside", []string{replicaStarted, `16.5 core-a-1 {"event":1012,"members":6}`, lastLine}},
		{"restarted before the bound", "", []string{replicaStarted, `15.0 core-a-1 {"event":1010,"replica":8}`, `15.1 core-a-1 {"event":1012,"members":6}`, lastLine}},
		{"core unstable", "", []string{replicaStarted, `18.0 core-a-1 {"event":1012,"members":6}`, lastLine, "the core was not stable: 14.000 to 18.500"}},
		{"reports long pending admission", "replica-outside", []string{replicaStarted, `10.5 core-a-1 {"event":1012,"members":6}`, `30.0 core-a-1 {"event":1017,"ms":7000,"asked":"a b"}`, lastLine}},
		{"reports short pending admission", "", []string{replicaStarted, `10.5 core-a-1 {"event":1012,"members":6}`, `30.0 core-a-1 {"event":1017,"ms":3000,"asked":"a b"}`, lastLine}},
		{"standby of the ledger", "", []string{`10.0 store-a-1 {"event":1010,"replica":7}`, lastLine}},
	})
}

func TestMissingVoters(t *testing.T) {
	leadershipGained := `1.0 core-a-1 {"event":1003,"term":2}`
	votersMissing := `10.0 core-a-1 {"event":1018,"voters":4,"wanted":5,"members":4}`
	loss := "    8.0 s to     9.0 s  after_ack_wipe core-b-1"
	runCheckTests(t, []checkTest{
		{"replaced in time", "", []string{leadershipGained, votersMissing, `14.0 core-a-1 {"event":1019,"voters":5}`, lastLine, loss}},
		{"not replaced", "voters-missing", []string{leadershipGained, votersMissing, lastLine, loss}},
		{"replaced late", "voters-missing", []string{leadershipGained, votersMissing, `16.0 core-a-1 {"event":1019,"voters":5}`, lastLine, loss}},
		{"too few members", "voters-missing", []string{leadershipGained, `10.0 core-a-1 {"event":1012,"members":4}`, lastLine, loss}},
		{"too few members reported by a follower", "", []string{leadershipGained, `10.0 core-b-1 {"event":1012,"members":3}`, lastLine, loss}},
		{"new leader lacks none", "", []string{leadershipGained, votersMissing, `12.0 core-c-1 {"event":1003,"term":3}`, lastLine, loss}},
		{"ledger", "voters-missing", []string{`1.0 store-a-1 {"event":1003,"term":2}`,
			`10.0 store-a-1 {"event":1018,"voters":4,"wanted":5,"members":4}`, lastLine, "    8.0 s to     9.0 s  after_ack_wipe store-b-1"}},
	})
}

func TestIsolatedGateway(t *testing.T) {
	unreachable := `10.0 front-a-1 {"event":5013,"revision":3}`
	runCheckTests(t, []checkTest{
		{"shorter than the contact bound", "", []string{gatewayStarted, unreachable, `13.0 front-a-1 {"event":5012}`, lastLine}},
		{"longer than the contact bound", "gateway-alone", []string{gatewayStarted, unreachable, `15.0 front-a-1 {"event":5012}`, lastLine}},
		{"until the end", "gateway-alone", []string{gatewayStarted, unreachable, lastLine}},
		{"gateway partitioned", "", []string{gatewayStarted, unreachable, `15.0 front-a-1 {"event":5012}`, lastLine, "    9.5 s to     14.0 s  node_cut front-a-1"}},
	})
}

func TestOverdueRequest(t *testing.T) {
	runCheckTests(t, []checkTest{
		{"within the deadline", "", []string{gatewayStarted, `12.0 front-a-1 {"event":7001,"request":"r","ms":10400}`, lastLine}},
		{"over the deadline", "wait-over", []string{gatewayStarted, `12.0 front-a-1 {"event":7001,"request":"r","ms":10600}`, lastLine}},
	})
}

// Each check needs a test with a log that makes it report a finding.
func TestEveryCheckIsTested(t *testing.T) {
	tested := map[string]bool{
		"configuration-late": true, "configuration-back": true, "stop-late": true, "taken-after-stop": true, "two-leaders": true,
		"replica-outside": true, "voters-missing": true, "gateway-alone": true, "wait-over": true,
	}
	for _, check := range Checks {
		require.True(t, tested[check.Name], check.Name)
	}
}

func TestReadLog(t *testing.T) {
	log, err := ReadLog(strings.NewReader(`built in 0.0 s; 31972 lines in 206 files
   1.0000 core-a-1 {"event":1003,"term":2}
day                  own/srv  score  worth served refused failed  weakest part
rules broken: CONFIG 475, DENIED 474
worth 0.286 = whole day 0.571 (weight 0.7)
what happened
     7.9 s to     10.4 s  config_change (idle) 
   8.249 s to   10.549 s  after_ack_wipe core-a-1, core-b-1
    27.4 s to     42.0 s  core_cut (behind) core-c-1 / core-b-2, core-a-2
the core was not stable: 8.000 to 14.549, 20.000 to 26.560
`))
	require.NoError(t, err)
	require.Equal(t, "CONFIG 475, DENIED 474", log.Broken)
	require.Equal(t, "0.286", log.Worth)
	require.Len(t, log.Lines, 1)
	require.Equal(t, []Span{{8, 14.549}, {20, 26.56}}, log.Unstable)
	require.Len(t, log.Disruptions, 3)
	require.Equal(t, []string{"core-a-1", "core-b-1"}, log.Disruptions[1].Machines)
	require.Equal(t, []string{"core-c-1", "core-b-2", "core-a-2"}, log.Disruptions[2].Machines)
}

func TestReadLogRejectsMalformedEvent(t *testing.T) {
	_, err := ReadLog(strings.NewReader(`1.0 core-a-1 {"event":}`))
	require.Error(t, err)
}

func TestLongestUncovered(t *testing.T) {
	require.Equal(t, 10.0, Span{0, 10}.longestUncovered(nil))
	require.Equal(t, 4.0, Span{0, 10}.longestUncovered([]Span{{6, 8}, {-1, 2}}))
	require.Equal(t, 0.0, Span{0, 10}.longestUncovered([]Span{{4, 11}, {-1, 5}}))
	require.Zero(t, Span{3, 2}.longestUncovered(nil))
}
