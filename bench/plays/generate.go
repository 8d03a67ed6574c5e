package plays

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Play is one generated day.
type Play struct {
	// Name describes the contents of the day.
	Name string
	// Seed is the seed for everything that the bench draws at random.
	Seed         int
	plan, faults []map[string]any
	closing      map[string]any
}

// Offset is the start of the second scenario of a pair relative to the first.
type Offset string

const (
	// SameTime: both start at the same time.
	SameTime Offset = "same"
	// DuringRecovery: half-way through the recovery time of the first.
	DuringRecovery Offset = "within"
	// BeforeRecovered: shortly before the recovery time of the first ends.
	BeforeRecovered Offset = "before"
	// AfterRecovered: shortly after the recovery time of the first has ended.
	AfterRecovered Offset = "after"
)

// Offsets lists all offsets.
var Offsets = []Offset{SameTime, DuringRecovery, BeforeRecovered, AfterRecovered}

const (
	// firstStart is when the first scenario starts, after traffic has settled.
	firstStart = 3.0
	// recoveryMargin is the distance to the end of the recovery time that counts as shortly before or after.
	recoveryMargin = 0.2
	// endMargin is the time to keep free before the end of the day.
	endMargin = 4.0
	// maxRepeats is the largest number of repetitions in a series.
	maxRepeats = 4
	// shuffleSeed and the site's name determine the order of the plays.
	shuffleSeed = 37
)

// secondStart returns when the second scenario starts.
func (o Offset) secondStart(first float64, duration, recovery float64) float64 {
	switch o {
	case DuringRecovery:
		return first + duration + recovery/2
	case BeforeRecovered:
		return first + duration + recovery - recoveryMargin
	case AfterRecovered:
		return first + duration + recovery + recoveryMargin
	}
	return first
}

// Generate returns all plays of the site in the order in which to run them: series and pairs alternate,
// the longest series of wiped disks come first, and the others are shuffled with a seed per site so that
// any prefix is a varied sample. The same site file always gives the same plays.
func Generate(site *Site) []Play {
	series, pairs := generateSeries(site), generatePairs(site)
	hash := fnv.New64a()
	hash.Write([]byte(site.Name))
	random := rand.New(rand.NewPCG(shuffleSeed, hash.Sum64()))
	shuffle(random, pairs)
	first := slices.IndexFunc(series, func(play Play) bool { return !play.Matches("series-wipe-") })
	shuffle(random, series[max(first, 0):])
	return interleave(series, pairs)
}

func shuffle(random *rand.Rand, plays []Play) {
	random.Shuffle(len(plays), func(i, j int) { plays[i], plays[j] = plays[j], plays[i] })
}

// interleave alternates the elements of both lists and appends the rest of the longer one.
func interleave(first, second []Play) []Play {
	var all []Play
	for position := range max(len(first), len(second)) {
		if position < len(first) {
			all = append(all, first[position])
		}
		if position < len(second) {
			all = append(all, second[position])
		}
	}
	return all
}

// generateSeries returns the days on which the same loss affects the same class two, three and four
// times, each as soon as the recovery time of the previous one is over, where the day is long enough.
func generateSeries(site *Site) []Play {
	var series []Play
	closings := newRoundRobin(Closings())
	for times := maxRepeats; times >= 2; times-- {
		for _, scenario := range Scenarios(site) {
			if !repeatable[scenario.Name] {
				continue
			}
			for _, variant := range scenario.Variants {
				play := site.newPlay(fmt.Sprintf("series-%s-x%d", joinWords(scenario.Name, variant.Name), times))
				interval := variant.Duration + scenario.RecoveryTime(site.Bounds())
				if firstStart+float64(times-1)*interval > site.LengthSeconds-endMargin {
					continue
				}
				for number := range times {
					play.add(variant, firstStart+float64(number)*interval)
				}
				play.close(closings.next())
				series = append(series, play)
			}
		}
	}
	return series
}

// repeatable names the scenarios that lose machines or disks.
var repeatable = map[string]bool{"power": true, "wipe": true, "taken": true, "replace": true}

// generatePairs returns a day for each ordered pair of scenarios at each offset. Variants and closings
// rotate, so that all of them are used.
func generatePairs(site *Site) []Play {
	var pairs []Play
	scenarios := Scenarios(site)
	variants := make([]*roundRobin[Variant], len(scenarios))
	for position, scenario := range scenarios {
		variants[position] = newRoundRobin(scenario.Variants)
	}
	closings := newRoundRobin(Closings())
	for firstIndex, first := range scenarios {
		for secondIndex, second := range scenarios {
			if len(first.Variants) == 0 || len(second.Variants) == 0 {
				continue
			}
			for _, offset := range Offsets {
				firstVariant, secondVariant := variants[firstIndex].next(), variants[secondIndex].next()
				play := site.newPlay(fmt.Sprintf("pair-%s-then-%s-%s", first.Name, second.Name, offset))
				play.add(firstVariant, firstStart)
				play.add(secondVariant, offset.secondStart(firstStart, firstVariant.Duration, first.RecoveryTime(site.Bounds())))
				play.Name = joinWords(play.Name, firstVariant.Name, secondVariant.Name)
				play.close(closings.next())
				pairs = append(pairs, play)
			}
		}
	}
	return pairs
}

// Pair returns the names of the two scenarios and the offset, or "" if the play is not a pair.
func (p *Play) Pair() string {
	rest, ok := strings.CutPrefix(p.Name, "pair-")
	if !ok {
		return ""
	}
	for _, offset := range Offsets {
		if end := strings.Index(rest, "-"+string(offset)+"-"); end >= 0 {
			return rest[:end+1+len(offset)]
		}
	}
	return ""
}

// Matches reports whether the play's name contains the text.
func (p *Play) Matches(text string) bool { return strings.Contains(p.Name, text) }

// roundRobin returns its values in turn and starts over at the end.
type roundRobin[T any] struct {
	values []T
	used   int
}

func newRoundRobin[T any](values []T) *roundRobin[T] { return &roundRobin[T]{values: values} }

func (t *roundRobin[T]) next() T {
	value := t.values[t.used%len(t.values)]
	t.used++
	return value
}

// Closing is the fault at the end of a day. With an empty kind there is none.
type Closing struct {
	Kind, How string
	Down      float64
}

// Bounds of the time without power at the end of a day, in seconds.
const (
	minDownSeconds = 0.55
	maxDownSeconds = 1.6
)

// Closings returns all closings. Their number is coprime to the number of offsets, so that rotation
// covers all combinations.
func Closings() []Closing {
	return []Closing{
		{},
		{Kind: "wipe_after_ack", Down: maxDownSeconds, How: "all oldest"},
		{Kind: "power_off_all", Down: minDownSeconds, How: "all taken"},
		{Kind: "kill_all", Down: maxDownSeconds},
		{Kind: "wipe_after_ack", Down: minDownSeconds, How: "timed"},
		{Kind: "power_off_all", Down: maxDownSeconds},
		{Kind: "wipe_after_ack", Down: minDownSeconds, How: "taken"},
		{Kind: "kill_all", Down: minDownSeconds, How: "timed"},
		{Kind: "wipe_after_ack", Down: maxDownSeconds},
	}
}

func (s *Site) newPlay(name string) Play {
	play := Play{Name: name}
	// Configuration changes throughout the day provide acknowledgements for faults that wait for one.
	const changeEvery = 4.0
	for at := 1.0; at < s.LengthSeconds-endMargin; at += changeEvery {
		play.plan = append(play.plan, map[string]any{"at": rounded(at), "kind": "config_change", "how": "idle"})
	}
	return play
}

func (p *Play) add(variant Variant, at float64) {
	if variant.Planned {
		p.plan = append(p.plan, variant.entries(at)...)
		return
	}
	p.faults = append(p.faults, variant.entries(at)...)
}

// close sets the closing of the day and derives the seed from the complete name.
func (p *Play) close(closing Closing) {
	if closing.Kind != "" {
		p.Name = joinWords(p.Name, "ends", strings.ReplaceAll(closing.Kind, "_", "-"), closing.How)
		p.closing = map[string]any{"kind": closing.Kind, "down_s": closing.Down}
		if closing.How != "" {
			p.closing["how"] = closing.How
		}
	}
	hash := fnv.New32a()
	hash.Write([]byte(p.Name))
	const seeds = 1_000_000
	p.Seed = int(hash.Sum32()%seeds) + 1
}

// Day encodes the day as a file for the users' bench, with the traffic of one of the site's standard days.
func (p *Play) Day(site *Site) ([]byte, error) {
	day := site.trafficDay()
	day["name"], day["seed"] = p.Name, p.Seed
	day["plan"], day["faults"] = p.plan, p.faults
	// Expectations of the standard day do not apply to this one.
	for _, expectation := range []string{"closing", "floor_classes", "floor_zones", "small"} {
		delete(day, expectation)
	}
	day["goal"] = map[string]any{"floor": 0.1}
	if p.closing != nil {
		day["closing"] = p.closing
	}
	var written bytes.Buffer
	encoder := toml.NewEncoder(&written)
	encoder.Indent = ""
	if err := encoder.Encode(map[string]any{"day": []map[string]any{day}}); err != nil {
		return nil, ErrInvalid.Wrap(err, "encode day %s", p.Name)
	}
	return written.Bytes(), nil
}

// joinWords joins the words with hyphens, splitting them at spaces and underscores.
func joinWords(words ...string) string {
	var parts []string
	for _, word := range words {
		parts = append(parts, strings.FieldsFunc(word, func(r rune) bool { return r == ' ' || r == '_' })...)
	}
	return strings.Join(parts, "-")
}
