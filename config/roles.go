package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"
)

// Process holds the settings common to directory replicas, stores and gateways.
type Process struct {
	// Cluster names the deployment. A data folder belongs to one cluster.
	Cluster string `yaml:"cluster"`
	// Name is the process's unique name.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// InternalAddress is the address for other processes of dillchute.
	InternalAddress string `yaml:"internal_address"`
	// MetricsAddress is the address for metrics and profiles; empty to disable them.
	MetricsAddress string `yaml:"metrics_address"`
	// Peers are the addresses of directory replicas.
	Peers []string `yaml:"peers"`
	// PeerPort, if not 0, replaces the ports in Peers.
	PeerPort int `yaml:"peer_port"`
	// MemoryLimit is the memory limit of the process in MiB; 0 for no limit.
	MemoryLimit int `yaml:"memory_limit_mib"`
	// DescriptorLimit is the limit on the process's open descriptors; 0 for that of the operating system.
	DescriptorLimit int    `yaml:"descriptor_limit"`
	LogLevel        string `yaml:"log_level"`
	// Grace is the maximum duration of a graceful shutdown.
	Grace time.Duration `yaml:"grace"`
	// CopyLimit is the maximum age of a process's copy of the directory when it dispatches work;
	// an older copy is refreshed first. It bounds how long a deregistered backend can still be
	// sent new work. 0 means no limit.
	CopyLimit time.Duration `yaml:"copy_limit"`
}

// Directory holds the settings of a directory replica.
type Directory struct {
	Process `yaml:",inline"`
	// ControlAddress is the address for operators and backends.
	ControlAddress string `yaml:"control_address"`
	DataFolder     string `yaml:"data_folder"`
	// FirstStart must be set only when the whole deployment starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// ToleratedLosses is the number of machines with a disk that may be lost at once.
	// Each group has 2*ToleratedLosses+1 voters.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// HeartbeatInterval is the interval between a backend's heartbeats.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval"`
	// DutyAddress is the address for calls that only one process makes at a time. Duties lists
	// the enabled calls: DutyUsage, DutyScale.
	DutyAddress string   `yaml:"duty_address"`
	Duties      []string `yaml:"duties"`
	// UsageWindow is the length of the time windows for which usage is reported.
	UsageWindow time.Duration `yaml:"usage_window"`
	// DutyLease is how long a process that takes over a duty waits before it acts.
	DutyLease time.Duration `yaml:"duty_lease"`
	// DutyRate is the maximum number of calls per second to DutyAddress; 0 for no limit.
	DutyRate float64 `yaml:"duty_rate"`
	// ToleratedZones is the number of zones that may be lost at once.
	ToleratedZones int `yaml:"tolerated_zones"`
	// HoldOrders suspends scaling orders for all services although DutyScale is enabled.
	HoldOrders bool `yaml:"hold_orders"`
}

const (
	// DutyUsage is the duty of reporting the tenants' usage.
	DutyUsage = "usage"
	// DutyScale is the duty of ordering backends for scalable services.
	DutyScale = "scale"
)

// IsScalingEnabled reports whether backends are ordered.
func (d Directory) IsScalingEnabled() bool {
	return d.DutyAddress != "" && slices.Contains(d.Duties, DutyScale)
}

// MinDutyInterval returns the minimum time between two calls to DutyAddress.
func (d Directory) MinDutyInterval() time.Duration {
	if d.DutyRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / d.DutyRate)
}

// IsUsageReportingEnabled reports whether the tenants' usage is reported.
func (d Directory) IsUsageReportingEnabled() bool {
	return d.DutyAddress != "" && slices.Contains(d.Duties, DutyUsage)
}

// Ledger holds the settings of a ledger store.
type Ledger struct {
	Process    `yaml:",inline"`
	DataFolder string `yaml:"data_folder"`
	FirstStart bool   `yaml:"first_start"`
	// ToleratedLosses is the same as in Directory.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// OrderLease is how long a new leader waits before it sends orders to
	// engines that an earlier leader may have sent orders to.
	OrderLease time.Duration `yaml:"order_lease"`
	// Retention is how long the results of a step are kept after its submission.
	Retention time.Duration `yaml:"retention"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Process `yaml:",inline"`
	// CallerAddress is the address for callers' requests.
	CallerAddress string `yaml:"caller_address"`
	// ReadyAddress is the address of the readiness check.
	ReadyAddress string `yaml:"ready_address"`
}

// Voters returns the number of voters that a group needs to tolerate the losses.
func Voters(toleratedLosses int) int { return 2*toleratedLosses + 1 }

func defaultProcess() Process {
	return Process{Cluster: "dillchute", LogLevel: "info", Grace: 8 * time.Second, CopyLimit: 2 * time.Second}
}

// DefaultDirectory returns the default settings of a directory replica.
func DefaultDirectory() Directory {
	return Directory{
		Process: defaultProcess(), ToleratedLosses: 1, HeartbeatInterval: time.Second,
		UsageWindow: 5 * time.Second, DutyLease: 3 * time.Second,
	}
}

// DefaultLedger returns the default settings of a ledger store.
func DefaultLedger() Ledger {
	return Ledger{
		Process: defaultProcess(), ToleratedLosses: 1, OrderLease: 3 * time.Second, Retention: 2 * time.Minute,
	}
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway { return Gateway{Process: defaultProcess()} }

// LoadDirectory reads and validates the settings of a directory replica.
func LoadDirectory(path string) (Directory, error) {
	settings := DefaultDirectory()
	if err := load(path, &settings); err != nil {
		return settings, err
	}
	return settings, settings.Validate()
}

// LoadLedger reads and validates the settings of a ledger store.
func LoadLedger(path string) (Ledger, error) {
	settings := DefaultLedger()
	if err := load(path, &settings); err != nil {
		return settings, err
	}
	return settings, settings.Validate()
}

// LoadGateway reads and validates the settings of a gateway.
func LoadGateway(path string) (Gateway, error) {
	settings := DefaultGateway()
	if err := load(path, &settings); err != nil {
		return settings, err
	}
	return settings, settings.Validate()
}

// PeerAddresses returns the internal addresses of the peers.
func (p Process) PeerAddresses() []string {
	addresses := make([]string, 0, len(p.Peers))
	for _, address := range p.Peers {
		if host, _, err := net.SplitHostPort(address); err == nil && p.PeerPort != 0 {
			address = net.JoinHostPort(host, strconv.Itoa(p.PeerPort))
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// minCopyLimit is the lowest accepted copy_limit. With a healthy watch copies are up to 1.2 s old, so
// low limits cause frequent refreshes: below 2 s often, and below 1.5 s before most sends.
const minCopyLimit = time.Second

func (p Process) checks() []fieldCheck {
	checks := []fieldCheck{
		{"cluster", p.Cluster == "", "must not be empty"},
		{"name", p.Name == "", "must not be empty"},
		{"zone", p.Zone == "", "must not be empty"},
		{"internal_address", !validAddress(p.InternalAddress), "must be an IP address and a port"},
		{"metrics_address", p.MetricsAddress != "" && !validAddress(p.MetricsAddress), "must be an IP address and a port"},
		{"peers", len(p.Peers) == 0, "must not be empty"},
		{"memory_limit_mib", p.MemoryLimit < 0, "must not be negative"},
		{"descriptor_limit", p.DescriptorLimit < 0, "must not be negative"},
		{"log_level", !validLevel(p.LogLevel), "must be debug, info, warn or error"},
		{"grace", p.Grace <= 0, "must be positive"},
		{"copy_limit", p.CopyLimit != 0 && p.CopyLimit < minCopyLimit, "must be 0, or at least 1s"},
	}
	for position, address := range p.Peers {
		checks = append(checks, fieldCheck{fmt.Sprintf("peers[%d]", position), !validAddress(address), "must be an IP address and a port"})
	}
	return checks
}

// Validate returns an ErrInvalid error that lists all invalid fields.
func (d Directory) Validate() error {
	return validationError(append(d.checks(),
		fieldCheck{"control_address", !validAddress(d.ControlAddress), "must be an IP address and a port"},
		fieldCheck{"data_folder", d.DataFolder == "", "must not be empty"},
		fieldCheck{"tolerated_losses", d.ToleratedLosses < 0, "must not be negative"},
		fieldCheck{"heartbeat_interval", d.HeartbeatInterval <= 0, "must be positive"},
		fieldCheck{"duty_address", d.DutyAddress != "" && !validAddress(d.DutyAddress), "must be an IP address and a port"},
		fieldCheck{"duties", len(d.Duties) > 0 && d.DutyAddress == "", "need a duty_address"},
		fieldCheck{"usage_window", d.UsageWindow < time.Millisecond, "must be a millisecond or more"},
		fieldCheck{"duty_lease", d.DutyLease < 0, "must not be negative"},
		fieldCheck{"duty_rate", d.DutyRate < 0, "must not be negative"},
		fieldCheck{"tolerated_zones", d.ToleratedZones < 0, "must not be negative"}))
}

// Validate returns an ErrInvalid error that lists all invalid fields.
func (l Ledger) Validate() error {
	return validationError(append(l.checks(),
		fieldCheck{"data_folder", l.DataFolder == "", "must not be empty"},
		fieldCheck{"tolerated_losses", l.ToleratedLosses < 0, "must not be negative"},
		fieldCheck{"order_lease", l.OrderLease < 0, "must not be negative"},
		fieldCheck{"retention", l.Retention <= 0, "must be positive"}))
}

// Validate returns an ErrInvalid error that lists all invalid fields.
func (g Gateway) Validate() error {
	return validationError(append(g.checks(),
		fieldCheck{"caller_address", !validAddress(g.CallerAddress), "must be an IP address and a port"},
		fieldCheck{"ready_address", !validAddress(g.ReadyAddress), "must be an IP address and a port"}))
}
