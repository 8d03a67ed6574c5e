package plays

import (
	"maps"
	"math"
	"strings"
)

// Scenario is a kind of fault or planned work that affects stored data or the replicated groups.
type Scenario struct {
	Name string
	// Variants are the forms of the scenario.
	Variants []Variant
	// RecoveryTime returns the time that the deployment may take to recover after the scenario has ended.
	RecoveryTime func(Bounds) float64
}

// Variant is one form of a scenario.
type Variant struct {
	Name string
	// Duration is in seconds.
	Duration float64
	// Planned: the bench lists it as planned work rather than as a fault.
	Planned bool
	// Fields are the fields of the bench's entry, except the time.
	Fields map[string]any
	// Repeats is the number of entries, Interval the seconds between them.
	Repeats  int
	Interval float64
}

// entries returns the bench's entries for a variant that starts at the given time.
func (v *Variant) entries(at float64) []map[string]any {
	written := make([]map[string]any, 0, max(v.Repeats, 1))
	for number := range max(v.Repeats, 1) {
		entry := maps.Clone(v.Fields)
		entry["at"] = rounded(at + float64(number)*v.Interval)
		written = append(written, entry)
	}
	return written
}

func rounded(seconds float64) float64 { return math.Round(seconds*1000) / 1000 }

// Durations and intervals of scenarios, in seconds, as in the standard days.
const (
	powerOffSeconds = 2.5
	// ackSeconds is the allowance for a fault that waits for an acknowledgement. Without it the next
	// loss would come before the previous one is recovered, and the bench would leave it out.
	ackSeconds       = 0.5
	partitionSeconds = 5.0
	freezeSeconds    = 4.0
	slowSeconds      = 5.0
	clockSeconds     = 6.0
	stormInterval    = 0.5
	stormRepeats     = 12
	shutdownInterval = 1.3
	shutdownSteps    = 5
)

func catchUp(bounds Bounds) float64     { return bounds.CatchUp }
func contact(bounds Bounds) float64     { return bounds.Contact }
func configApply(bounds Bounds) float64 { return bounds.ConfigApply }
func grace(bounds Bounds) float64       { return bounds.Grace }

// Scenarios returns the scenarios for the site. Those that affect machines with a disk have a variant
// for each class of such machines.
func Scenarios(site *Site) []Scenario {
	return []Scenario{
		{Name: "wipe", RecoveryTime: catchUp, Variants: site.diskVariants("after_ack_wipe", powerOffSeconds, site.lossFields(), "", "timed", "oldest")},
		{Name: "power", RecoveryTime: catchUp, Variants: site.diskVariants("node_kill", powerOffSeconds, site.lossFields(),
			"power", "power leader", "power follower race drain", "power leader meet hard")},
		{Name: "taken", RecoveryTime: catchUp, Variants: site.diskVariants("after_ack_kill", powerOffSeconds, site.lossFields(), "", "timed", "taken", "kill")},
		{Name: "cut", RecoveryTime: contact, Variants: site.diskVariants("core_cut", partitionSeconds, site.lossFields(),
			"", "leader", "split", "behind", "one_way", "relieve", "both", "near", "seeds", "leader race drain split lure", "oldest reset", "all")},
		{Name: "freeze", RecoveryTime: contact, Variants: site.diskVariants("node_freeze", freezeSeconds, site.lossFields(), "leader", "renewed", "follower", "reader", "turn")},
		{Name: "slow", RecoveryTime: contact, Variants: site.diskVariants("node_slow", slowSeconds, map[string]any{"count": 1, "x": 6.0}, "", "leader")},
		{Name: "disk-slow", RecoveryTime: contact, Variants: site.diskVariants("disk_slow", slowSeconds, map[string]any{"count": 1, "x": 30.0}, "", "leader")},
		{Name: "disk-stall", RecoveryTime: contact, Variants: site.diskVariants("disk_stall", slowSeconds, map[string]any{"count": 1}, "", "leader")},
		{Name: "replace", RecoveryTime: catchUp, Variants: site.diskVariants("replace_core", 2, map[string]any{"x": 1.5}, "", "planned", "oldest")},
		{Name: "add", RecoveryTime: catchUp, Variants: site.additionVariants()},
		{Name: "stop", RecoveryTime: grace, Variants: site.shutdownVariants()},
		{Name: "storm", RecoveryTime: configApply, Variants: configStormVariants()},
		{Name: "clock", RecoveryTime: contact, Variants: clockStepVariants()},
	}
}

// lossFields sets the count to the number of machines that may be lost at once.
func (s *Site) lossFields() map[string]any {
	return map[string]any{"count": max(s.Tolerate.Machines, 1)}
}

// diskVariants returns the variants of a kind: each mode on each class with a disk.
func (s *Site) diskVariants(kind string, duration float64, fields map[string]any, modes ...string) []Variant {
	var variants []Variant
	for _, mode := range modes {
		for _, class := range s.diskClasses() {
			variant := newVariant(kind, class, mode, duration, fields)
			variants = append(variants, variant)
		}
	}
	return variants
}

func newVariant(kind, class, mode string, duration float64, fields map[string]any) Variant {
	entry := maps.Clone(fields)
	entry["kind"], entry["for_s"] = kind, duration
	name := class
	if strings.HasPrefix(kind, "after_ack") {
		duration += ackSeconds
	}
	if class != "" {
		entry["on"] = class
	}
	if mode != "" {
		entry["how"] = mode
		name = joinWords(class, mode)
	}
	return Variant{Name: name, Duration: duration, Fields: entry}
}

// shutdownVariants returns rolling graceful shutdowns of each class.
func (s *Site) shutdownVariants() []Variant {
	var variants []Variant
	add := func(class, mode string, share, concurrent float64) {
		fields := map[string]any{"kind": "roll_term", "on": class, "share": share, "x": concurrent, "gap_s": shutdownInterval}
		if mode != "" {
			fields["how"] = mode
		}
		variants = append(variants, Variant{Name: joinWords(class, mode), Planned: true, Duration: shutdownInterval * shutdownSteps, Fields: fields})
	}
	const share = 0.3
	concurrent := math.Ceil(float64(s.count("front")) * share / shutdownSteps)
	add("front", "", share, concurrent)
	add("front", "busy", share, concurrent)
	for _, class := range s.diskClasses() {
		add(class, "", 1, 1)
		add(class, "leader", 1, 1)
	}
	return variants
}

func (s *Site) additionVariants() []Variant {
	var variants []Variant
	for _, class := range s.diskClasses() {
		if spare := s.spare(class); spare > 0 {
			fields := map[string]any{"kind": "add_nodes", "on": class, "count": spare}
			variants = append(variants, Variant{Name: class, Planned: true, Duration: 1, Fields: fields})
		}
	}
	return variants
}

func configStormVariants() []Variant {
	storm := func(name string, fields map[string]any) Variant {
		return Variant{Name: name, Planned: true, Duration: stormRepeats * stormInterval, Fields: fields, Repeats: stormRepeats, Interval: stormInterval}
	}
	race := Variant{Name: "race", Planned: true, Duration: stormRepeats * stormInterval,
		Fields: map[string]any{"kind": "config_race", "count": stormRepeats, "gap_s": stormInterval}}
	return []Variant{
		storm("idle", map[string]any{"kind": "config_change", "how": "idle"}),
		storm("timeout", map[string]any{"kind": "config_change", "how": "timeout"}),
		race,
	}
}

func clockStepVariants() []Variant {
	var variants []Variant
	for _, mode := range []string{"leader", "back", "ahead"} {
		variants = append(variants, newVariant("clock_step", "", mode, clockSeconds, map[string]any{"share": 0.3, "x": 2400.0}))
	}
	return variants
}
