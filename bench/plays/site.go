// Package plays makes days for the users' bench by design instead of by luck: it
// lets each pair of the troubles that touch what the product keeps meet in each
// order at four distances, loses disks and machines of one class again and again
// as fast as the deployment's page allows, and ends days in each way there is.
// After a play it reads the product's own logs and checks what the bench's traffic
// may not have happened to hit. A table says which plays have been made on which
// commit.
//
// Nothing here knows a deployment by its name: all figures come from its site file.
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
	// ErrInvalid: a file cannot be read or lacks what is needed of it.
	ErrInvalid = namespace.NewType("invalid")
	// ErrNotPlayed: the bench gave no result for a play.
	ErrNotPlayed = namespace.NewType("not_played")
)

// Site is what plays need to know of a deployment.
type Site struct {
	Name string `toml:"name"`
	// LengthSeconds is how long a day's traffic lasts.
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
	// Days are the standard days as they stand in the file.
	Days []map[string]any `toml:"day"`
}

// Machine is a group of like machines of one zone.
type Machine struct {
	Class string `toml:"class"`
	Count int    `toml:"count"`
	Spare int    `toml:"spare"`
	// Disk is nil on machines without one.
	Disk map[string]any `toml:"disk"`
}

// Class is a kind of request.
type Class struct {
	DeadlineMillis float64 `toml:"deadline_ms"`
	TimeoutMillis  float64 `toml:"timeout_ms"`
}

// Bounds are the times, in seconds, within which a deployment has to get over
// what happens, and the losses it bears.
type Bounds struct {
	// CatchUp is what a machine that is back has until its loss is made good.
	CatchUp float64
	// Contact is how long after a disruption a machine is in touch again.
	Contact float64
	// ConfigApply is what a configuration has from its acknowledgement to be in force.
	ConfigApply float64
	// Grace is what a planned stop has.
	Grace float64
	// LongestWait is the longest time that a request may take.
	LongestWait float64
	// Length is when the traffic of a day ends.
	Length float64
	// Tolerated is the number of machines with a disk that may be lost at once.
	Tolerated int
}

// LoadSite reads a site file.
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
		return ErrInvalid.New("the site file names no deployment or no machines")
	case bounds.CatchUp <= 0 || bounds.Contact <= 0 || bounds.ConfigApply <= 0 || bounds.Grace <= 0 || bounds.Length <= 0:
		return ErrInvalid.New("the site file of %s lacks a bound: %+v", s.Name, bounds)
	case len(s.Days) == 0:
		return ErrInvalid.New("the site file of %s has no day whose traffic could be used", s.Name)
	}
	return nil
}

// Bounds returns the deployment's bounds.
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

// spare returns the number of machines of the class that may be added.
func (s *Site) spare(class string) int {
	sum := 0
	for _, machine := range s.Machines {
		if machine.Class == class {
			sum += machine.Spare
		}
	}
	return sum
}

// keepers returns the classes of machines that have a disk, in order.
func (s *Site) keepers() []string {
	found := map[string]bool{}
	for _, machine := range s.Machines {
		if machine.Disk != nil {
			found[machine.Class] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// trafficDay returns a copy of the standard day whose traffic plays use: the
// first of those that are for growth, which ask the most, else the first.
func (s *Site) trafficDay() map[string]any {
	for _, day := range s.Days {
		if slot, _ := day["slot"].(string); strings.HasPrefix(slot, "scale") {
			return maps.Clone(day)
		}
	}
	return maps.Clone(s.Days[0])
}
