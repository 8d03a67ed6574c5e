// Package config defines and validates the settings of each process, which are
// read from one YAML file. Command-line flags override them.
package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("config")
	// ErrInvalid is the type of errors for settings that cannot be read or are
	// invalid. The message names the file and line, or the field's path.
	ErrInvalid = namespace.NewType("invalid")
)

// Control holds the settings of a control replica.
type Control struct {
	// Cluster names the group of replicas. A data folder belongs to one cluster.
	Cluster string `yaml:"cluster"`
	// Address is the IP address and port for other processes and operators.
	Address string `yaml:"address"`
	// DataFolder is the folder of the replica's files.
	DataFolder string `yaml:"data_folder"`
	// PlatformURL is the URL of the platform's engine list; empty for none.
	PlatformURL string `yaml:"platform_url"`
	// Tick is the duration of a consensus tick. The election timeout is ElectionTicks ticks.
	Tick          time.Duration `yaml:"tick"`
	ElectionTicks int           `yaml:"election_ticks"`
	// Lease is how long a node stays registered without a heartbeat.
	Lease time.Duration `yaml:"lease"`
	// ReplaceAfter is how long a voter must be silent before a learner replaces
	// it; 0 disables replacement.
	ReplaceAfter time.Duration `yaml:"replace_after"`
	// SnapshotBytes is the log size that triggers a snapshot.
	SnapshotBytes int    `yaml:"snapshot_bytes"`
	LogLevel      string `yaml:"log_level"`
	// Pprof enables profiles under /debug/pprof.
	Pprof bool `yaml:"pprof"`
}

// Node holds the settings of a node.
type Node struct {
	// ID is the node's unique name.
	ID     string `yaml:"id"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Address is the IP address and port for other processes of dillchute.
	Address string `yaml:"address"`
	// CallerAddress is the address for callers' requests.
	CallerAddress string `yaml:"caller_address"`
	// Controls are the addresses of the control replicas.
	Controls []string `yaml:"controls"`
	// ScorerURL is the URL of the scoring service; empty for none.
	ScorerURL string `yaml:"scorer_url"`
	// DrainTimeout limits how long a graceful shutdown waits for requests in flight.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	LogLevel     string        `yaml:"log_level"`
	Pprof        bool          `yaml:"pprof"`
}

// DefaultControl returns the default settings of a control replica.
func DefaultControl() Control {
	return Control{
		Tick: 50 * time.Millisecond, ElectionTicks: 10, Lease: 3 * time.Second,
		ReplaceAfter: time.Minute, SnapshotBytes: 16 << 20, LogLevel: "info",
	}
}

// DefaultNode returns the default settings of a node.
func DefaultNode() Node {
	return Node{DrainTimeout: 10 * time.Minute, LogLevel: "info"}
}

// LoadControl reads the settings of a control replica. It does not validate them,
// because flags may override them. An empty path returns the defaults.
func LoadControl(path string) (Control, error) {
	settings := DefaultControl()
	return settings, load(path, &settings)
}

// LoadNode reads the settings of a node, like LoadControl.
func LoadNode(path string) (Node, error) {
	settings := DefaultNode()
	return settings, load(path, &settings)
}

func load(path string, settings any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return ErrInvalid.Wrap(err, "read settings")
	}
	if err := DecodeStrict(data, settings); err != nil {
		return ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return nil
}

type fieldCheck struct {
	field   string
	invalid bool
	reason  string
}

// Validate returns an ErrInvalid error that lists all invalid fields.
func (c Control) Validate() error {
	return validationError([]fieldCheck{
		{"cluster", c.Cluster == "", "must not be empty"},
		{"address", !validAddress(c.Address), "must be an IP address and a port"},
		{"data_folder", c.DataFolder == "", "must not be empty"},
		{"platform_url", c.PlatformURL != "" && !validURL(c.PlatformURL), "must be an http URL by IP address"},
		{"tick", c.Tick < time.Millisecond || c.Tick > time.Second, "must be 1ms to 1s"},
		{"election_ticks", c.ElectionTicks < 4, "must be at least 4"},
		{"lease", c.Lease < 4*c.Tick || c.Lease < time.Second, "must be at least 1s and 4 ticks"},
		{"replace_after", c.ReplaceAfter < 0, "must not be negative"},
		{"snapshot_bytes", c.SnapshotBytes < 1, "must be positive"},
		{"log_level", !validLevel(c.LogLevel), "must be debug, info, warn or error"},
	})
}

// Validate returns an ErrInvalid error that lists all invalid fields.
func (n Node) Validate() error {
	checks := []fieldCheck{
		{"id", n.ID == "", "must not be empty"},
		{"zone", n.Zone == "", "must not be empty"},
		{"region", n.Region == "", "must not be empty"},
		{"address", !validAddress(n.Address), "must be an IP address and a port"},
		{"caller_address", !validAddress(n.CallerAddress), "must be an IP address and a port"},
		{"controls", len(n.Controls) == 0, "must not be empty"},
		{"scorer_url", n.ScorerURL != "" && !validURL(n.ScorerURL), "must be an http URL by IP address"},
		{"drain_timeout", n.DrainTimeout <= 0, "must be positive"},
		{"log_level", !validLevel(n.LogLevel), "must be debug, info, warn or error"},
	}
	seen := map[string]bool{}
	for position, address := range n.Controls {
		path := fmt.Sprintf("controls[%d]", position)
		checks = append(checks,
			fieldCheck{path, !validAddress(address), "must be an IP address and a port"},
			fieldCheck{path, seen[address], "is a duplicate"})
		seen[address] = true
	}
	return validationError(checks)
}

func validationError(checks []fieldCheck) error {
	var failures []string
	for _, check := range checks {
		if check.invalid {
			failures = append(failures, check.field+": "+check.reason)
		}
	}
	if len(failures) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(failures, "; "))
}

// validAddress reports whether the text is an IP address with a port, which may be 0.
func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func validURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && net.ParseIP(parsed.Hostname()) != nil
}

func validLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
