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

// Play is one day by design.
type Play struct {
	// Name says what the day holds.
	Name string
	// Seed is what the bench draws the rest of the day from.
	Seed         int
	plan, faults []map[string]any
	closing      map[string]any
}

// Distance is how far the second trouble of a pair lies from the first.
type Distance string

// The distances.
const (
	// Same: both begin at the same instant.
	Same Distance = "same"
	// Within: half-way through the time in which the first one still has to be got over.
	Within Distance = "within"
	// Before: right before that time ends.
	Before Distance = "before"
	// After: right after that time has ended.
	After Distance = "after"
)

// Distances are all of them.
var Distances = []Distance{Same, Within, Before, After}

const (
	// firstAt is when the first trouble begins: traffic has settled and the first steps
	// have been asked.
	firstAt = 3.0
	// nextTo is how near right before and right after are. A lost machine takes about
	// 0.05 s to start.
	nextTo = 0.2
	// room is what the last trouble needs before the day's end.
	room = 4.0
	// longestSeries is how often in a row the same is lost.
	longestSeries = 4
	// shuffleSeed, with the site's name, orders the plays.
	shuffleSeed = 37
)

// second returns when the second trouble begins.
func (d Distance) second(first float64, lasts, settles float64) float64 {
	switch d {
	case Within:
		return first + lasts + settles/2
	case Before:
		return first + lasts + settles - nextTo
	case After:
		return first + lasts + settles + nextTo
	}
	return first
}

// Generate returns all plays of the site in the order in which they are best
// made: series of losses and pairs by turns, the longest series of lost disks
// first, and the rest in an order that a seed draws for each site, so that a first
// part of the plays of all sites holds as much as it can. The same site file always
// gives the same plays.
func Generate(site *Site) []Play {
	series, pairs := generateSeries(site), generatePairs(site)
	hash := fnv.New64a()
	hash.Write([]byte(site.Name))
	random := rand.New(rand.NewPCG(shuffleSeed, hash.Sum64()))
	shuffle(random, pairs)
	first := slices.IndexFunc(series, func(play Play) bool { return !play.Matches("series-wipe-") })
	shuffle(random, series[max(first, 0):])
	return byTurns(series, pairs)
}

func shuffle(random *rand.Rand, plays []Play) {
	random.Shuffle(len(plays), func(i, j int) { plays[i], plays[j] = plays[j], plays[i] })
}

// byTurns returns one play of each list after the other, and the rest of the
// longer one at the end.
func byTurns(one, other []Play) []Play {
	var all []Play
	for position := range max(len(one), len(other)) {
		if position < len(one) {
			all = append(all, one[position])
		}
		if position < len(other) {
			all = append(all, other[position])
		}
	}
	return all
}

// generateSeries returns the days on which the same kind of loss strikes the same
// class two, three and four times, each as soon as the loss before has to be made
// good, where the day is long enough.
func generateSeries(site *Site) []Play {
	var series []Play
	closings := newTurn(Closings())
	for times := longestSeries; times >= 2; times-- {
		for _, trouble := range Troubles(site) {
			if !lossesInSeries[trouble.Name] {
				continue
			}
			for _, variant := range trouble.Variants {
				play := site.newPlay(fmt.Sprintf("series-%s-x%d", joined(trouble.Name, variant.Name), times))
				every := variant.Lasts + trouble.Settles(site.Bounds())
				if firstAt+float64(times-1)*every > site.LengthSeconds-room {
					continue
				}
				for number := range times {
					play.add(variant, firstAt+float64(number)*every)
				}
				play.close(closings.next())
				series = append(series, play)
			}
		}
	}
	return series
}

// lossesInSeries are the troubles that lose machines or disks.
var lossesInSeries = map[string]bool{"power": true, "wipe": true, "taken": true, "replace": true}

// generatePairs returns a day for each pair of troubles in each order at each
// distance. Variants and ends of days take turns, so that all of them come up.
func generatePairs(site *Site) []Play {
	var pairs []Play
	troubles := Troubles(site)
	variants := make([]*turn[Variant], len(troubles))
	for position, trouble := range troubles {
		variants[position] = newTurn(trouble.Variants)
	}
	closings := newTurn(Closings())
	for one, first := range troubles {
		for other, second := range troubles {
			if len(first.Variants) == 0 || len(second.Variants) == 0 {
				continue
			}
			for _, distance := range Distances {
				before, after := variants[one].next(), variants[other].next()
				play := site.newPlay(fmt.Sprintf("pair-%s-then-%s-%s", first.Name, second.Name, distance))
				play.add(before, firstAt)
				play.add(after, distance.second(firstAt, before.Lasts, first.Settles(site.Bounds())))
				play.Name = joined(play.Name, before.Name, after.Name)
				play.close(closings.next())
				pairs = append(pairs, play)
			}
		}
	}
	return pairs
}

// Pair returns the names of the two troubles and the distance of a play of a
// pair, or nothing of another play.
func (p *Play) Pair() string {
	rest, ok := strings.CutPrefix(p.Name, "pair-")
	if !ok {
		return ""
	}
	for _, distance := range Distances {
		if end := strings.Index(rest, "-"+string(distance)+"-"); end >= 0 {
			return rest[:end+1+len(distance)]
		}
	}
	return ""
}

// Matches tells whether the play's name holds the text.
func (p *Play) Matches(text string) bool { return strings.Contains(p.Name, text) }

// turn hands out the values one after the other and begins again at the end.
type turn[T any] struct {
	values []T
	given  int
}

func newTurn[T any](values []T) *turn[T] { return &turn[T]{values: values} }

func (t *turn[T]) next() T {
	value := t.values[t.given%len(t.values)]
	t.given++
	return value
}

// Closing is a way in which a day ends. With no kind, it ends without a fault.
type Closing struct {
	Kind, How string
	Down      float64
}

// The shortest and longest time without power at the end of a day, in seconds.
const (
	shortestDown = 0.55
	longestDown  = 1.6
)

// Closings returns all ways in which a day ends. Their number has no factor in
// common with that of the distances, so that turns go through all combinations.
func Closings() []Closing {
	return []Closing{
		{},
		{Kind: "wipe_after_ack", Down: longestDown, How: "all oldest"},
		{Kind: "power_off_all", Down: shortestDown, How: "all taken"},
		{Kind: "kill_all", Down: longestDown},
		{Kind: "wipe_after_ack", Down: shortestDown, How: "timed"},
		{Kind: "power_off_all", Down: longestDown},
		{Kind: "wipe_after_ack", Down: shortestDown, How: "taken"},
		{Kind: "kill_all", Down: shortestDown, How: "timed"},
		{Kind: "wipe_after_ack", Down: longestDown},
	}
}

func (s *Site) newPlay(name string) Play {
	play := Play{Name: name}
	// Changes of the configuration through the whole day, so that losses right after an
	// acknowledgement find one, and each change has to come into force.
	const changeEvery = 4.0
	for at := 1.0; at < s.LengthSeconds-room; at += changeEvery {
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

// close gives the day its end and, as its name is whole now, its seed.
func (p *Play) close(closing Closing) {
	if closing.Kind != "" {
		p.Name = joined(p.Name, "ends", strings.ReplaceAll(closing.Kind, "_", "-"), closing.How)
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

// Day returns the day as a file of the users' bench, with the traffic of one of
// the site's own days.
func (p *Play) Day(site *Site) ([]byte, error) {
	day := site.trafficDay()
	day["name"], day["seed"] = p.Name, p.Seed
	day["plan"], day["faults"] = p.plan, p.faults
	// What the site expects of its own day says nothing of this one.
	for _, judged := range []string{"closing", "floor_classes", "floor_zones", "small"} {
		delete(day, judged)
	}
	day["goal"] = map[string]any{"floor": 0.1}
	if p.closing != nil {
		day["closing"] = p.closing
	}
	var written bytes.Buffer
	encoder := toml.NewEncoder(&written)
	encoder.Indent = ""
	if err := encoder.Encode(map[string]any{"day": []map[string]any{day}}); err != nil {
		return nil, ErrInvalid.Wrap(err, "write day %s", p.Name)
	}
	return written.Bytes(), nil
}

// joined makes a name of words that may hold spaces or be empty.
func joined(words ...string) string {
	var parts []string
	for _, word := range words {
		parts = append(parts, strings.FieldsFunc(word, func(r rune) bool { return r == ' ' || r == '_' })...)
	}
	return strings.Join(parts, "-")
}
