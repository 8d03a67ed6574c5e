package plays

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testBounds = Bounds{CatchUp: 6, Contact: 4, ConfigApply: 2.5, Grace: 8, LongestWait: 10, Length: 42, Tolerated: 2}

// findingsOf returns the names of the checks that the log fires, in order.
func findingsOf(t *testing.T, lines ...string) []string {
	t.Helper()
	log, err := ReadLog(strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	var names []string
	for _, finding := range Find(log, testBounds) {
		names = append(names, finding.Check)
	}
	return names
}

// checkCase is a log, and the one check that it must fire; none if it is empty.
type checkCase struct {
	name  string
	fires string
	log   []string
}

func runCases(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			found := findingsOf(t, one.log...)
			if one.fires == "" {
				require.Empty(t, found)
				return
			}
			require.Equal(t, []string{one.fires}, found)
		})
	}
}

const (
	gatewayStarts = `-13.9 front-a-1 {"event":7002,"name":"front-a-1"}`
	followsFour   = `1.0 front-a-1 {"event":5011,"version":4,"revision":20}`
	putFive       = `10.0 core-a-1 {"event":5005,"offered":5,"held":5}`
	dayEnds       = `50.0 front-b-1 {"event":5017}`
)

func TestConfigurationLate(t *testing.T) {
	runCases(t, []checkCase{
		{"in force in time", "", []string{gatewayStarts, followsFour, putFive, `12.4 front-a-1 {"event":5011,"version":5}`, dayEnds}},
		{"a later one in force in time", "", []string{gatewayStarts, followsFour, putFive, `12.4 front-a-1 {"event":5011,"version":8}`, dayEnds}},
		{"never", "configuration-late", []string{gatewayStarts, followsFour, putFive, dayEnds}},
		{"too late", "configuration-late", []string{gatewayStarts, followsFour, putFive, `13.0 front-a-1 {"event":5011,"version":5}`, dayEnds}},
		{"not acknowledged", "", []string{gatewayStarts, followsFour, `10.0 core-a-1 {"event":5005,"offered":5,"held":5,"error":"no leader"}`, dayEnds}},
		{"offered below what is held", "", []string{gatewayStarts, followsFour, `10.0 core-a-1 {"event":5005,"offered":3,"held":4}`, dayEnds}},
		{"struck meanwhile", "", []string{gatewayStarts, followsFour, putFive, `16.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"    11.0 s to     13.0 s  node_freeze front-a-1"}},
		{"in touch again", "configuration-late", []string{gatewayStarts, followsFour, putFive, `18.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"    11.0 s to     13.0 s  node_freeze front-a-1"}},
		{"one of many struck", "", []string{gatewayStarts, followsFour, putFive, `16.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"    11.0 s to     13.0 s  node_freeze front-b-1, front-b-2 and 3 more"}},
		{"the day's end", "", []string{gatewayStarts, followsFour, putFive, `16.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"    11.0 s to     13.0 s  closing (power_off_all) core-a-1, core-b-2 and 72 more"}},
		{"another class struck", "configuration-late", []string{gatewayStarts, followsFour, putFive, `16.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"    11.0 s to     13.0 s  roll_term store-a-1, store-b-2 and 7 more"}},
		{"the core not stable", "", []string{gatewayStarts, followsFour, putFive, `16.0 front-a-1 {"event":5011,"version":5}`, dayEnds,
			"the core was not stable: 11.000 to 16.500, 20.000 to 26.000"}},
		{"stopped before", "", []string{gatewayStarts, followsFour, putFive, `12.0 front-a-1 {"event":7003}`, `15.6 front-a-1 {"event":7004,"in_flight":0}`, dayEnds}},
	})
}

func TestConfigurationBack(t *testing.T) {
	runCases(t, []checkCase{
		{"onwards", "", []string{gatewayStarts, followsFour, `2.0 front-a-1 {"event":5011,"version":5}`, dayEnds}},
		{"back", "configuration-back", []string{gatewayStarts, followsFour, `2.0 front-a-1 {"event":5011,"version":3}`, dayEnds}},
		{"back in another life", "", []string{gatewayStarts, followsFour, `2.0 front-a-1 {"event":7002}`, `2.1 front-a-1 {"event":5011,"version":3}`, dayEnds}},
	})
}

func TestStopLate(t *testing.T) {
	stops := `10.0 front-a-1 {"event":7003,"in_flight":2}`
	runCases(t, []checkCase{
		{"in time", "", []string{gatewayStarts, stops, `13.6 front-a-1 {"event":7004,"in_flight":0}`, dayEnds}},
		{"cut at the end of its grace", "", []string{gatewayStarts, stops, `17.4 front-a-1 {"event":7004,"in_flight":1}`, dayEnds}},
		{"no end", "stop-late", []string{gatewayStarts, stops, dayEnds}},
		{"late end", "stop-late", []string{gatewayStarts, stops, `18.5 front-a-1 {"event":7004,"in_flight":0}`, dayEnds}},
		{"cut before its grace is over", "stop-late", []string{gatewayStarts, stops, `14.0 front-a-1 {"event":7004,"in_flight":1}`, dayEnds}},
		{"killed meanwhile", "", []string{gatewayStarts, stops, dayEnds, "    11.0 s to     13.0 s  node_kill (power) front-a-1"}},
		{"the stop itself is no excuse", "stop-late", []string{gatewayStarts, stops, dayEnds, "    10.0 s to     13.0 s  roll_term front-a-1"}},
		{"the log ends before", "", []string{gatewayStarts, stops, `12.0 front-b-1 {"event":5017}`}},
	})
}

func TestTakenAfterStop(t *testing.T) {
	stops := []string{gatewayStarts, `10.0 front-a-1 {"event":7003,"in_flight":0}`}
	request := `17.5 front-a-1 {"event":7001,"request":"r","ms":20}`
	runCases(t, []checkCase{
		{"before the end", "", append(stops, `13.0 front-a-1 {"event":7001,"request":"r","ms":20}`, `13.6 front-a-1 {"event":7004,"in_flight":0}`, dayEnds)},
		{"after the end", "taken-after-stop", append(stops, `17.4 front-a-1 {"event":7004,"in_flight":0}`, request, dayEnds)},
		{"in flight at the end", "", append(stops, `17.4 front-a-1 {"event":7004,"in_flight":1}`, request, dayEnds)},
		{"of the next life", "", append(stops, `13.6 front-a-1 {"event":7004,"in_flight":0}`, `14.0 front-a-1 {"event":7002}`, request, dayEnds)},
	})
}

func TestTwoLeaders(t *testing.T) {
	first := `1.0 core-a-1 {"event":1003,"term":2}`
	runCases(t, []checkCase{
		{"a term each", "", []string{first, `2.0 core-b-1 {"event":1003,"term":3}`, dayEnds}},
		{"one term", "two-leaders", []string{first, `2.0 core-b-1 {"event":1003,"term":2}`, dayEnds}},
		{"one term of two groups", "", []string{first, `2.0 store-b-1 {"event":1003,"term":2}`, dayEnds}},
	})
}

func TestReplicaOutside(t *testing.T) {
	starts := `10.0 core-a-1 {"event":1010,"replica":7}`
	runCases(t, []checkCase{
		{"let in", "", []string{starts, `10.5 core-a-1 {"event":1012,"members":6}`, dayEnds}},
		{"not let in", "replica-outside", []string{starts, dayEnds}},
		{"let in late", "replica-outside", []string{starts, `16.5 core-a-1 {"event":1012,"members":6}`, dayEnds}},
		{"struck again meanwhile", "", []string{starts, `15.0 core-a-1 {"event":1010,"replica":8}`, `15.1 core-a-1 {"event":1012,"members":6}`, dayEnds}},
		{"the core not stable", "", []string{starts, `18.0 core-a-1 {"event":1012,"members":6}`, dayEnds, "the core was not stable: 14.000 to 18.500"}},
		{"says so itself", "replica-outside", []string{starts, `10.5 core-a-1 {"event":1012,"members":6}`, `30.0 core-a-1 {"event":1017,"ms":7000,"asked":"a b"}`, dayEnds}},
		{"says so soon", "", []string{starts, `10.5 core-a-1 {"event":1012,"members":6}`, `30.0 core-a-1 {"event":1017,"ms":3000,"asked":"a b"}`, dayEnds}},
		{"a ledger that stands by", "", []string{`10.0 store-a-1 {"event":1010,"replica":7}`, dayEnds}},
	})
}

func TestVotersMissing(t *testing.T) {
	leads := `1.0 core-a-1 {"event":1003,"term":2}`
	lacks := `10.0 core-a-1 {"event":1018,"voters":4,"wanted":5,"members":4}`
	lost := "    8.0 s to     9.0 s  after_ack_wipe core-b-1"
	runCases(t, []checkCase{
		{"made good", "", []string{leads, lacks, `14.0 core-a-1 {"event":1019,"voters":5}`, dayEnds, lost}},
		{"not made good", "voters-missing", []string{leads, lacks, dayEnds, lost}},
		{"made good late", "voters-missing", []string{leads, lacks, `16.0 core-a-1 {"event":1019,"voters":5}`, dayEnds, lost}},
		{"few members", "voters-missing", []string{leads, `10.0 core-a-1 {"event":1012,"members":4}`, dayEnds, lost}},
		{"a follower's count", "", []string{leads, `10.0 core-b-1 {"event":1012,"members":3}`, dayEnds, lost}},
		{"the next leader has all", "", []string{leads, lacks, `12.0 core-c-1 {"event":1003,"term":3}`, dayEnds, lost}},
		{"of the ledger", "voters-missing", []string{`1.0 store-a-1 {"event":1003,"term":2}`,
			`10.0 store-a-1 {"event":1018,"voters":4,"wanted":5,"members":4}`, dayEnds, "    8.0 s to     9.0 s  after_ack_wipe store-b-1"}},
	})
}

func TestGatewayAlone(t *testing.T) {
	alone := `10.0 front-a-1 {"event":5013,"revision":3}`
	runCases(t, []checkCase{
		{"for a moment", "", []string{gatewayStarts, alone, `13.0 front-a-1 {"event":5012}`, dayEnds}},
		{"for long", "gateway-alone", []string{gatewayStarts, alone, `15.0 front-a-1 {"event":5012}`, dayEnds}},
		{"for good", "gateway-alone", []string{gatewayStarts, alone, dayEnds}},
		{"cut off", "", []string{gatewayStarts, alone, `15.0 front-a-1 {"event":5012}`, dayEnds, "    9.5 s to     14.0 s  node_cut front-a-1"}},
	})
}

func TestWaitOver(t *testing.T) {
	runCases(t, []checkCase{
		{"within", "", []string{gatewayStarts, `12.0 front-a-1 {"event":7001,"request":"r","ms":10400}`, dayEnds}},
		{"over", "wait-over", []string{gatewayStarts, `12.0 front-a-1 {"event":7001,"request":"r","ms":10600}`, dayEnds}},
	})
}

// TestEveryCheckHasCases: a check that no log fires says nothing by its silence.
func TestEveryCheckHasCases(t *testing.T) {
	tested := map[string]bool{
		"configuration-late": true, "configuration-back": true, "stop-late": true, "taken-after-stop": true, "two-leaders": true,
		"replica-outside": true, "voters-missing": true, "gateway-alone": true, "wait-over": true,
	}
	for _, check := range Checks {
		require.True(t, tested[check.Name], check.Name)
	}
}

func TestReadLogOfAWholePlay(t *testing.T) {
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

func TestReadLogRefusesABrokenLine(t *testing.T) {
	_, err := ReadLog(strings.NewReader(`1.0 core-a-1 {"event":}`))
	require.Error(t, err)
}

func TestLongestStretch(t *testing.T) {
	require.Equal(t, 10.0, Span{0, 10}.longest(nil))
	require.Equal(t, 4.0, Span{0, 10}.longest([]Span{{6, 8}, {-1, 2}}))
	require.Equal(t, 0.0, Span{0, 10}.longest([]Span{{4, 11}, {-1, 5}}))
	require.Zero(t, Span{3, 2}.longest(nil))
}
