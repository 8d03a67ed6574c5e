// Package plays generates days for the users' bench that systematically combine faults and planned work
// on stateful machines: ordered pairs at four offsets, repeated losses of disks and machines of one class,
// and each fault that may end a day. After a play it parses the product's logs and checks invariants that the
// bench's traffic may not exercise. A table records which plays were run on which commit.
//
// All parameters of a deployment come from its site file.
package plays

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("plays")
	// ErrInvalid reports a file or checkout that cannot be read, written or used.
	ErrInvalid = namespace.NewType("invalid")
	// ErrNotPlayed reports a play that was interrupted.
	ErrNotPlayed = namespace.NewType("not_played")
)

// Site holds the settings of a deployment that plays depend on.
type Site struct {
	Name string `toml:"name"`
	// LengthSeconds is the duration of a day's traffic.
	LengthSeconds float64   `toml:"length_s"`
	Machines      []Machine `toml:"machines"`
	Classes       []Class   `toml:"classes"`
	Timing        struct {
		CatchUpSeconds float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
	Limits struct {
		ConfigMillis  float64 `toml:"config_ms"`
		ContactMillis float64 `toml:"touch_ms"`
		GraceSeconds  float64 `toml:"grace_s"`
	} `toml:"bounds"`
	// Days are the standard days, undecoded.
	Days []map[string]any `toml:"day"`
}

// Machine is a group of identical machines in one zone.
type Machine struct {
	Class string `toml:"class"`
	Count int    `toml:"count"`
	Spare int    `toml:"spare"`
	// Disk is nil on machines without a disk.
	Disk map[string]any `toml:"disk"`
}

// Class is a class of requests.
type Class struct {
	DeadlineMillis float64 `toml:"deadline_ms"`
	TimeoutMillis  float64 `toml:"timeout_ms"`
}

// Bounds holds the deadlines, in seconds, for recovering from disruptions and the tolerated losses.
type Bounds struct {
	// CatchUp is the time in which a restarted or replaced machine must have caught up.
	CatchUp float64
	// Contact is the time after a disruption within which a machine is connected again.
	Contact float64
	// ConfigApply is the time from the acknowledgement of a configuration until it must be applied.
	ConfigApply float64
	// Grace is the grace period of a graceful shutdown.
	Grace float64
	// LongestWait is the longest deadline or timeout of any request class.
	LongestWait float64
	// Length is the time at which the traffic of a day ends.
	Length float64
	// Tolerated is the number of machines with a disk that may be lost at once.
	Tolerated int
}

// LoadSite reads and checks a site file.
func LoadSite(path string) (*Site, error) {
	var site Site
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return nil, ErrInvalid.Wrap(err, "read site %s", filepath.Base(path))
	}
	return &site, site.check()
}

func (s *Site) check() error {
	bounds := s.Bounds()
	switch {
	case s.Name == "" || len(s.Machines) == 0:
		return ErrInvalid.New("the site file must set name and machines")
	case bounds.CatchUp <= 0 || bounds.Contact <= 0 || bounds.ConfigApply <= 0 || bounds.Grace <= 0 || bounds.Length <= 0:
		return ErrInvalid.New("the site file of %s lacks a bound: %+v", s.Name, bounds)
	case len(s.Days) == 0:
		return ErrInvalid.New("the site file of %s has no standard day", s.Name)
	}
	return nil
}

// Bounds returns the bounds of the deployment.
func (s *Site) Bounds() Bounds {
	longest := 0.0
	for _, class := range s.Classes {
		longest = max(longest, class.DeadlineMillis, class.TimeoutMillis)
	}
	return Bounds{
		CatchUp: s.Timing.CatchUpSeconds, Contact: s.Limits.ContactMillis / 1000, ConfigApply: s.Limits.ConfigMillis / 1000,
		Grace: s.Limits.GraceSeconds, LongestWait: longest / 1000, Length: s.LengthSeconds, Tolerated: s.Tolerate.Machines,
	}
}

// count returns the number of machines of the class.
func (s *Site) count(class string) int {
	sum := 0
	for _, machine := range s.Machines {
		if machine.Class == class {
			sum += machine.Count
		}
	}
	return sum
}

// spare returns the number of machines of the class that can be added.
func (s *Site) spare(class string) int {
	sum := 0
	for _, machine := range s.Machines {
		if machine.Class == class {
			sum += machine.Spare
		}
	}
	return sum
}

// diskClasses returns the sorted classes of machines that have a disk.
func (s *Site) diskClasses() []string {
	found := map[string]bool{}
	for _, machine := range s.Machines {
		if machine.Disk != nil {
			found[machine.Class] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// trafficDay returns a copy of the standard day whose traffic plays use: the first scaling day, which
// has the highest load, or else the first day.
func (s *Site) trafficDay() map[string]any {
	for _, day := range s.Days {
		if slot, _ := day["slot"].(string); strings.HasPrefix(slot, "scale") {
			return maps.Clone(day)
		}
	}
	return maps.Clone(s.Days[0])
}
