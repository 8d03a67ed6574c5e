package plays

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

const testSite = `
name = "site"
length_s = 34.0
machines = [
  { class = "front", zone = "a", count = 9, spare = 1 },
  { class = "store", zone = "a", count = 5, spare = 2, disk = { mb = 300 } },
  { class = "core", zone = "a", count = 6, spare = 1, disk = { mb = 128 } },
]
classes = [{ name = "one", deadline_ms = 1500.0 }, { name = "two", deadline_ms = 9000, timeout_ms = 10000 }]
[timing]
catch_up_s = 6.0
[tolerate]
machines = 2
[bounds]
config_ms = 2500.0
touch_ms = 4000
grace_s = 8.0
[[day]]
name = "quiet"
slot = "quiet"
[[day]]
name = "scale-1"
slot = "scale"
closing = { kind = "kill_all", down_s = 1.0 }
plan = [{ at = 4.0, kind = "release" }]
traffic = [{ zone = "a", per_s = 5.5, mix = { one = 12.0 } }]
`

func loadTestSite(t *testing.T) *Site {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	require.NoError(t, os.WriteFile(path, []byte(testSite), 0o600))
	site, err := LoadSite(path)
	require.NoError(t, err)
	return site
}

func TestSiteBounds(t *testing.T) {
	require.Equal(t, Bounds{CatchUp: 6, Contact: 4, ConfigApply: 2.5, Grace: 8, LongestWait: 10, Length: 34, Tolerated: 2}, loadTestSite(t).Bounds())
}

func TestLoadSiteRejectsMissingBounds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	require.NoError(t, os.WriteFile(path, []byte("name = \"site\"\nmachines = [{ class = \"front\", count = 1 }]\n"), 0o600))
	_, err := LoadSite(path)
	require.ErrorContains(t, err, "lacks a bound")
}

func TestPairsCoverAllOrdersAndOffsets(t *testing.T) {
	site := loadTestSite(t)
	counts := map[string]int{}
	for _, play := range Generate(site) {
		if pair := play.Pair(); pair != "" {
			counts[pair]++
		}
	}
	scenarios := Scenarios(site)
	for _, first := range scenarios {
		for _, second := range scenarios {
			for _, offset := range Offsets {
				require.Equal(t, 1, counts[first.Name+"-then-"+second.Name+"-"+string(offset)])
			}
		}
	}
	require.Len(t, counts, len(scenarios)*len(scenarios)*len(Offsets))
}

func TestAllVariantsAndClosingsAreUsed(t *testing.T) {
	site := loadTestSite(t)
	names := ""
	for _, play := range Generate(site) {
		names += " " + play.Name + " "
	}
	for _, scenario := range Scenarios(site) {
		for _, variant := range scenario.Variants {
			require.Contains(t, names, variant.Name, scenario.Name)
		}
	}
	for _, closing := range Closings() {
		if closing.Kind != "" {
			require.Contains(t, names, joinWords("ends", closing.Kind, closing.How)+" ")
		}
	}
}

func TestPlayNamesAreUniqueFileNames(t *testing.T) {
	seen := map[string]bool{}
	for _, play := range Generate(loadTestSite(t)) {
		require.Regexp(t, regexp.MustCompile(`^[a-z0-9-]+$`), play.Name)
		require.False(t, seen[play.Name], play.Name)
		seen[play.Name] = true
		require.Positive(t, play.Seed)
	}
}

func TestGenerateIsDeterministic(t *testing.T) {
	require.Equal(t, Generate(loadTestSite(t)), Generate(loadTestSite(t)))
}

// The same loss is repeated as soon as the recovery time of the previous one is over.
func TestSeriesIsSpacedByCatchUpTime(t *testing.T) {
	site := loadTestSite(t)
	times := map[string]int{}
	for _, play := range Generate(site) {
		if play.Matches("series-wipe-core-x") {
			times[play.Name[:len("series-wipe-core-x4")]] = len(play.faults)
			for number := 1; number < len(play.faults); number++ {
				interval := play.faults[number]["at"].(float64) - play.faults[number-1]["at"].(float64)
				require.InDelta(t, powerOffSeconds+ackSeconds+6, interval, 0.001)
			}
			require.Equal(t, 2, play.faults[0]["count"])
		}
	}
	require.Equal(t, map[string]int{"series-wipe-core-x2": 2, "series-wipe-core-x3": 3, "series-wipe-core-x4": 4}, times)
}

func TestOffsets(t *testing.T) {
	require.Equal(t, 3.0, SameTime.secondStart(3, 5, 4))
	require.Equal(t, 10.0, DuringRecovery.secondStart(3, 5, 4))
	require.InDelta(t, 11.8, BeforeRecovered.secondStart(3, 5, 4), 1e-9)
	require.InDelta(t, 12.2, AfterRecovered.secondStart(3, 5, 4), 1e-9)
}

// A generated day keeps only the traffic of the standard day, and no entry starts after the day's end.
func TestDayKeepsOnlyTrafficOfStandardDay(t *testing.T) {
	site := loadTestSite(t)
	for _, play := range Generate(site) {
		written, err := play.Day(site)
		require.NoError(t, err)
		var file struct{ Day []map[string]any }
		require.NoError(t, toml.Unmarshal(written, &file))
		require.Len(t, file.Day, 1)
		day := file.Day[0]
		require.Equal(t, play.Name, day["name"])
		require.Len(t, day["traffic"], 1)
		require.NotContains(t, string(written), "release")
		require.Equal(t, play.closing != nil, day["closing"] != nil)
		for _, entries := range [][]map[string]any{play.plan, play.faults} {
			for _, entry := range entries {
				require.Less(t, entry["at"].(float64), site.LengthSeconds, play.Name)
			}
		}
	}
}
