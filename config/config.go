// Package config holds the settings of the control and node processes, read
// strictly from one YAML file each. Command-line flags are laid over them.
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
	// ErrInvalid: a settings file cannot be read or holds something wrong. The
	// message names the file, and the line or the field's path.
	ErrInvalid = namespace.NewType("invalid")
)

// Control holds the settings of a control replica.
type Control struct {
	// Cluster names the group of replicas; a data folder belongs to one.
	Cluster string `yaml:"cluster"`
	// Address is the IP address and port that other processes and operators reach.
	Address string `yaml:"address"`
	// DataFolder holds the replica's files.
	DataFolder string `yaml:"data_folder"`
	// PlatformURL is where the platform's list of engines is read; empty for none.
	PlatformURL string `yaml:"platform_url"`
	// Tick is the unit of consensus timing; the election timeout is ElectionTicks of it.
	Tick          time.Duration `yaml:"tick"`
	ElectionTicks int           `yaml:"election_ticks"`
	// Lease is how long a silent node keeps its registration.
	Lease time.Duration `yaml:"lease"`
	// ReplaceAfter is how long a voter is silent before a learner takes its
	// place; 0 turns replacement off.
	ReplaceAfter time.Duration `yaml:"replace_after"`
	// SnapshotBytes is the least size of the log that makes a snapshot.
	SnapshotBytes int    `yaml:"snapshot_bytes"`
	LogLevel      string `yaml:"log_level"`
	// Pprof serves profiles under /debug/pprof.
	Pprof bool `yaml:"pprof"`
}

// Node holds the settings of a node.
type Node struct {
	// ID is the node's unique name.
	ID     string `yaml:"id"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Address is the IP address and port that other processes of dillchute reach.
	Address string `yaml:"address"`
	// CallerAddress is where callers' requests are taken in.
	CallerAddress string `yaml:"caller_address"`
	// Controls are the addresses of the control replicas.
	Controls []string `yaml:"controls"`
	// ScorerURL is where results are scored; empty for none.
	ScorerURL string `yaml:"scorer_url"`
	// DrainTimeout bounds the time that a planned stop waits for requests.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	LogLevel     string        `yaml:"log_level"`
	Pprof        bool          `yaml:"pprof"`
}

// DefaultControl returns the settings that hold where a file is silent.
func DefaultControl() Control {
	return Control{
		Tick: 50 * time.Millisecond, ElectionTicks: 10, Lease: 3 * time.Second,
		ReplaceAfter: time.Minute, SnapshotBytes: 16 << 20, LogLevel: "info",
	}
}

// DefaultNode returns the settings that hold where a file is silent.
func DefaultNode() Node {
	return Node{DrainTimeout: 10 * time.Minute, LogLevel: "info"}
}

// LoadControl reads the settings of a control replica, without checking them:
// flags may still change them. An empty path gives the defaults.
func LoadControl(path string) (Control, error) {
	settings := DefaultControl()
	return settings, load(path, &settings)
}

// LoadNode is LoadControl for a node.
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

type check struct {
	path   string
	wrong  bool
	reason string
}

// Validate returns an ErrInvalid error that names every wrong field.
func (c Control) Validate() error {
	return report([]check{
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

// Validate returns an ErrInvalid error that names every wrong field.
func (n Node) Validate() error {
	checks := []check{
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
			check{path, !validAddress(address), "must be an IP address and a port"},
			check{path, seen[address], "is there twice"})
		seen[address] = true
	}
	return report(checks)
}

func report(checks []check) error {
	var wrong []string
	for _, check := range checks {
		if check.wrong {
			wrong = append(wrong, check.path+": "+check.reason)
		}
	}
	if len(wrong) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(wrong, "; "))
}

// validAddress tells whether the text is an IP address with a port, which may be 0.
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
