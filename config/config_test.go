package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

const validControl = `
cluster: desk
address: 127.0.0.1:7000
data_folder: data
platform_url: http://127.0.0.1:8000
lease: 4s
`

const validNode = `
id: node-1
zone: a
region: r
address: 127.0.0.1:7001
caller_address: 127.0.0.1:7002
controls: [127.0.0.1:7000]
`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func loadControl(path string) error {
	settings, err := LoadControl(path)
	if err != nil {
		return err
	}
	return settings.Validate()
}

func loadNode(path string) error {
	settings, err := LoadNode(path)
	if err != nil {
		return err
	}
	return settings.Validate()
}

// TestInvalidSettingsErrors checks that each mistake gives an ErrInvalid error that
// names the field's path, or the file and line.
func TestInvalidSettingsErrors(t *testing.T) {
	tests := map[string]struct {
		load      func(string) error
		text      string
		wantParts []string
	}{
		"unknown key":       {loadControl, validControl + "clutser: x\n", []string{"settings.yaml", "[7:1]", "clutser"}},
		"repeated key":      {loadControl, validControl + "cluster: x\n", []string{"settings.yaml", "cluster"}},
		"wrong unit":        {loadControl, validControl + "tick: 50 bananas\n", []string{"settings.yaml", "[7:7]", "tick", "must be a duration"}},
		"wrong type":        {loadControl, validControl + "election_ticks: many\n", []string{"settings.yaml", "[7:17]"}},
		"truncated":         {loadControl, "cluster: [", []string{"settings.yaml"}},
		"no cluster":        {loadControl, "address: 127.0.0.1:1\ndata_folder: d\n", []string{"cluster: must not be empty"}},
		"host name":         {loadControl, validControl[:15] + "address: localhost:7000\ndata_folder: d\n", []string{"address: must be an IP address"}},
		"platform by name":  {loadControl, "cluster: c\naddress: 127.0.0.1:1\ndata_folder: d\nplatform_url: http://platform:80\n", []string{"platform_url: must be"}},
		"short lease":       {loadControl, "cluster: c\naddress: 127.0.0.1:1\ndata_folder: d\nlease: 10ms\n", []string{"lease: must be at least"}},
		"no controls":       {loadNode, validNode[:len(validNode)-len("controls: [127.0.0.1:7000]\n")], []string{"controls: must not be empty"}},
		"repeated control":  {loadNode, validNode[:len(validNode)-2] + ", 127.0.0.1:7000]\n", []string{"controls[1]: is a duplicate"}},
		"wrong control":     {loadNode, validNode[:len(validNode)-2] + ", nowhere]\n", []string{"controls[1]: must be an IP address"}},
		"several at a time": {loadNode, "drain_timeout: -1s\nlog_level: loud\n", []string{"id:", "zone:", "drain_timeout:", "log_level:"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := test.load(writeSettings(t, test.text))
			require.Error(t, err)
			require.True(t, errorx.IsOfType(err, ErrInvalid))
			for _, part := range test.wantParts {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

func TestValidSettings(t *testing.T) {
	require.NoError(t, loadControl(writeSettings(t, validControl)))
	require.NoError(t, loadNode(writeSettings(t, validNode)))
	settings, err := LoadControl(writeSettings(t, validControl))
	require.NoError(t, err)
	require.Equal(t, DefaultControl().Tick, settings.Tick, "settings missing from the file have their defaults")
	require.Error(t, loadNode(filepath.Join(t.TempDir(), "missing.yaml")))
}

// TestDutySettings checks that duties are enabled only if listed, that they require an address, and that
// duty_rate determines the interval between calls.
func TestDutySettings(t *testing.T) {
	const start = "name: d\nzone: z\ninternal_address: 127.0.0.1:1\ncontrol_address: 127.0.0.1:2\npeers: [127.0.0.1:1]\ndata_folder: d\n"
	settings, err := LoadDirectory(writeSettings(t, start))
	require.NoError(t, err)
	require.False(t, settings.IsScalingEnabled() || settings.IsUsageReportingEnabled() || settings.HoldOrders)
	require.Zero(t, settings.MinDutyInterval())
	settings, err = LoadDirectory(writeSettings(t, start+"duty_address: 127.0.0.1:3\nduties: [scale]\nduty_rate: 50.0\ntolerated_zones: 1\nhold_orders: true\n"))
	require.NoError(t, err)
	require.True(t, settings.IsScalingEnabled() && settings.HoldOrders)
	require.False(t, settings.IsUsageReportingEnabled())
	require.Equal(t, 20*time.Millisecond, settings.MinDutyInterval())
	require.Equal(t, 1, settings.ToleratedZones)
	_, err = LoadDirectory(writeSettings(t, start+"duty_rate: -1\ntolerated_zones: -1\nduties: [scale]\n"))
	for _, part := range []string{"duty_rate: must not be negative", "tolerated_zones: must not be negative", "duties: need a duty_address"} {
		require.ErrorContains(t, err, part)
	}
}
