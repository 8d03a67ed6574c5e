package plays

import (
	"maps"
	"math"
	"strings"
)

// Trouble is a kind of disruption or planned work that touches what the product
// keeps or agrees on.
type Trouble struct {
	Name string
	// Variants are the ways in which it comes.
	Variants []Variant
	// Settles is how long after its end the deployment may still need to get over it.
	Settles func(Bounds) float64
}

// Variant is one way in which a trouble comes.
type Variant struct {
	Name string
	// Lasts is how long it goes on, in seconds.
	Lasts float64
	// Planned: it stands among the planned work of a day, not among its faults.
	Planned bool
	// Fields are those of the bench's entry, but for the time.
	Fields map[string]any
	// Times is how often the entry is written, Every the seconds between: a storm.
	Times int
	Every float64
}

// entries returns the bench's entries for the variant from the time on.
func (v *Variant) entries(at float64) []map[string]any {
	written := make([]map[string]any, 0, max(v.Times, 1))
	for number := range max(v.Times, 1) {
		entry := maps.Clone(v.Fields)
		entry["at"] = rounded(at + float64(number)*v.Every)
		written = append(written, entry)
	}
	return written
}

func rounded(seconds float64) float64 { return math.Round(seconds*1000) / 1000 }

// How long troubles go on, in seconds. They are as the standard days have them.
const (
	darkSeconds = 2.5
	// ackSeconds is what a trouble that waits for an acknowledgement may wait: 0.25 to
	// 0.3 s were seen. Without it, the next loss would come before the one before is made
	// good, and the bench would leave it out.
	ackSeconds    = 0.5
	cutSeconds    = 5.0
	frozenSeconds = 4.0
	slowSeconds   = 5.0
	clockSeconds  = 6.0
	stormEvery    = 0.5
	stormTimes    = 12
	stopEvery     = 1.3
	stopSteps     = 5
)

func catchUp(bounds Bounds) float64     { return bounds.CatchUp }
func contact(bounds Bounds) float64     { return bounds.Contact }
func configApply(bounds Bounds) float64 { return bounds.ConfigApply }
func grace(bounds Bounds) float64       { return bounds.Grace }

// Troubles returns the catalogue for the site. Variants that strike machines with
// a disk come for each class of these in turn.
func Troubles(site *Site) []Trouble {
	return []Trouble{
		{Name: "wipe", Settles: catchUp, Variants: site.onKeepers("after_ack_wipe", darkSeconds, site.losses(), "", "timed", "oldest")},
		{Name: "power", Settles: catchUp, Variants: site.onKeepers("node_kill", darkSeconds, site.losses(),
			"power", "power leader", "power follower race drain", "power leader meet hard")},
		{Name: "taken", Settles: catchUp, Variants: site.onKeepers("after_ack_kill", darkSeconds, site.losses(), "", "timed", "taken", "kill")},
		{Name: "cut", Settles: contact, Variants: site.onKeepers("core_cut", cutSeconds, site.losses(),
			"", "leader", "split", "behind", "one_way", "relieve", "both", "near", "seeds", "leader race drain split lure", "oldest reset", "all")},
		{Name: "freeze", Settles: contact, Variants: site.onKeepers("node_freeze", frozenSeconds, site.losses(), "leader", "renewed", "follower", "reader", "turn")},
		{Name: "slow", Settles: contact, Variants: site.onKeepers("node_slow", slowSeconds, map[string]any{"count": 1, "x": 6.0}, "", "leader")},
		{Name: "disk-slow", Settles: contact, Variants: site.onKeepers("disk_slow", slowSeconds, map[string]any{"count": 1, "x": 30.0}, "", "leader")},
		{Name: "disk-stall", Settles: contact, Variants: site.onKeepers("disk_stall", slowSeconds, map[string]any{"count": 1}, "", "leader")},
		{Name: "replace", Settles: catchUp, Variants: site.onKeepers("replace_core", 2, map[string]any{"x": 1.5}, "", "planned", "oldest")},
		{Name: "add", Settles: catchUp, Variants: site.additions()},
		{Name: "stop", Settles: grace, Variants: site.stops()},
		{Name: "storm", Settles: configApply, Variants: storms()},
		{Name: "clock", Settles: contact, Variants: clockSteps()},
	}
}

// losses counts as many machines as may be lost at once.
func (s *Site) losses() map[string]any { return map[string]any{"count": max(s.Tolerate.Machines, 1)} }

// onKeepers returns the variants of a kind: each how on each class with a disk.
func (s *Site) onKeepers(kind string, lasts float64, fields map[string]any, hows ...string) []Variant {
	var variants []Variant
	for _, how := range hows {
		for _, class := range s.keepers() {
			variant := newVariant(kind, class, how, lasts, fields)
			variants = append(variants, variant)
		}
	}
	return variants
}

func newVariant(kind, class, how string, lasts float64, fields map[string]any) Variant {
	entry := maps.Clone(fields)
	entry["kind"], entry["for_s"] = kind, lasts
	name := class
	if strings.HasPrefix(kind, "after_ack") {
		lasts += ackSeconds
	}
	if class != "" {
		entry["on"] = class
	}
	if how != "" {
		entry["how"] = how
		name = joined(class, how)
	}
	return Variant{Name: name, Lasts: lasts, Fields: entry}
}

// stops returns planned stops of machines in turn, of each class that there is.
func (s *Site) stops() []Variant {
	var variants []Variant
	add := func(class, how string, share, together float64) {
		fields := map[string]any{"kind": "roll_term", "on": class, "share": share, "x": together, "gap_s": stopEvery}
		if how != "" {
			fields["how"] = how
		}
		variants = append(variants, Variant{Name: joined(class, how), Planned: true, Lasts: stopEvery * stopSteps, Fields: fields})
	}
	const share = 0.3
	together := math.Ceil(float64(s.count("front")) * share / stopSteps)
	add("front", "", share, together)
	add("front", "busy", share, together)
	for _, class := range s.keepers() {
		add(class, "", 1, 1)
		add(class, "leader", 1, 1)
	}
	return variants
}

func (s *Site) additions() []Variant {
	var variants []Variant
	for _, class := range s.keepers() {
		if spare := s.spare(class); spare > 0 {
			fields := map[string]any{"kind": "add_nodes", "on": class, "count": spare}
			variants = append(variants, Variant{Name: class, Planned: true, Lasts: 1, Fields: fields})
		}
	}
	return variants
}

func storms() []Variant {
	storm := func(name string, fields map[string]any) Variant {
		return Variant{Name: name, Planned: true, Lasts: stormTimes * stormEvery, Fields: fields, Times: stormTimes, Every: stormEvery}
	}
	race := Variant{Name: "race", Planned: true, Lasts: stormTimes * stormEvery,
		Fields: map[string]any{"kind": "config_race", "count": stormTimes, "gap_s": stormEvery}}
	return []Variant{
		storm("idle", map[string]any{"kind": "config_change", "how": "idle"}),
		storm("timeout", map[string]any{"kind": "config_change", "how": "timeout"}),
		race,
	}
}

func clockSteps() []Variant {
	var variants []Variant
	for _, how := range []string{"leader", "back", "ahead"} {
		variants = append(variants, newVariant("clock_step", "", how, clockSeconds, map[string]any{"share": 0.3, "x": 2400.0}))
	}
	return variants
}
