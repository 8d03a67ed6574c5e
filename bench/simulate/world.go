// Package simulate runs the cores of control and nodes, and the model of the
// engines, in virtual time under faults, and has the oracle judge the run. All
// randomness comes from one seed: a seed gives the same run, event for event.
package simulate

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"

	"github.com/dillchute/dillchute/bench/oracle"
)

// wallStart is the wall clock at the start of a run, in milliseconds since 1970.
const wallStart = 1_700_000_000_000

type event struct {
	at       int64
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// network holds the faults of the network.
type network struct {
	// zoneMillis and jitterMillis make up a message's delay between zones.
	zoneMillis   int64
	jitterMillis int64
	lossPercent  int
	dupPercent   int
	// cuts holds the ordered pairs of places that cannot reach each other; a
	// place is a zone or a process.
	cuts map[[2]string]bool
}

// World is one simulated run.
type World struct {
	now      int64
	sequence uint64
	events   eventHeap
	random   *rand.Rand
	network  network
	history  []oracle.Event
	digest   hash.Hash64
	trace    []string
	// traceAll keeps the whole trace; otherwise only the digest is kept.
	traceAll bool
	faults   map[string]int
	// steadyClocks has processes go by clocks that stand still while their machines are
	// suspended, as a faulty product would.
	steadyClocks bool
}

func newWorld(seed uint64) *World {
	return &World{
		random: rand.New(rand.NewPCG(seed, 0)), digest: fnv.New64a(), faults: map[string]int{},
		network: network{zoneMillis: 1, jitterMillis: 2, cuts: map[[2]string]bool{}},
	}
}

func (w *World) schedule(delay int64, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), sequence: w.sequence, run: run})
}

// runUntil carries out events up to the time, or until done returns true.
func (w *World) runUntil(limit int64, done func() bool) {
	for len(w.events) > 0 && w.events[0].at <= limit && !done() {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
}

// note adds a line to the trace.
func (w *World) note(format string, arguments ...any) {
	line := fmt.Sprintf("%8d ", w.now) + fmt.Sprintf(format, arguments...)
	w.digest.Write([]byte(line))
	if w.traceAll {
		w.trace = append(w.trace, line)
	}
}

func (w *World) fault(kind, format string, arguments ...any) {
	w.faults[kind]++
	w.note("FAULT "+kind+" "+format, arguments...)
}

// record adds an observation for the oracle.
func (w *World) record(observed oracle.Event) {
	observed.At = w.now
	w.history = append(w.history, observed)
}

func (w *World) between(low, high int64) int64 { return low + w.random.Int64N(high-low+1) }

func (w *World) percent(chance int) bool { return chance > 0 && w.random.IntN(100) < chance }

// process is anything with an address that can be killed, frozen and cut off.
type process struct {
	world   *World
	name    string
	zone    string
	address string
	alive   bool
	frozen  bool
	// life counts the process's starts; events of an earlier one are dropped.
	life     int
	bornAt   int64
	rate     float64
	wallSkew int64
	deferred []func()
	// suspending is set while the process is frozen because its machine is suspended, since
	// frozenAt; suspended is how long it was, in this life and before.
	suspending          bool
	frozenAt, suspended int64
}

// maxDrift is the greatest rate by which a clock is wrong, and maxSkewMillis by
// how much wall clocks differ.
const (
	maxDrift      = 0.02
	maxSkewMillis = 300
)

func (w *World) newProcess(name, zone string) *process {
	return &process{
		world: w, name: name, zone: zone, address: name,
		rate:     1 + maxDrift*(2*w.random.Float64()-1),
		wallSkew: w.between(-maxSkewMillis, maxSkewMillis),
	}
}

func (p *process) birth() {
	p.alive, p.frozen, p.suspending, p.deferred, p.suspended = true, false, false, nil, 0
	p.life++
	p.bornAt = p.world.now
}

func (p *process) death() {
	p.alive, p.frozen, p.suspending, p.deferred = false, false, false, nil
}

// monotonic is the clock that the process's decisions go by, which drifts. It counts
// suspensions, as package clock does.
func (p *process) monotonic() int64 {
	elapsed := p.world.now - p.bornAt
	if p.world.steadyClocks {
		elapsed -= p.suspended
	}
	return int64(float64(elapsed) * p.rate)
}

func (p *process) wall() int64 { return wallStart + p.world.now + p.wallSkew }

// after runs the function in this life of the process, once it is not frozen.
func (p *process) after(delay int64, run func()) {
	life := p.life
	p.world.schedule(delay, func() {
		if p.life != life || !p.alive {
			return
		}
		if p.suspending {
			// Timers stand still with the machine, and go on for what was left of them.
			left := p.world.now - p.frozenAt
			p.enter(func() { p.after(left, run) })
			return
		}
		p.enter(run)
	})
}

// enter runs the function now, or when the process is thawed.
func (p *process) enter(run func()) {
	if p.frozen {
		p.deferred = append(p.deferred, run)
		return
	}
	run()
}

func (p *process) freeze() {
	if p.alive {
		p.frozen, p.frozenAt = true, p.world.now
	}
}

// suspend freezes the process as its machine is suspended.
func (p *process) suspend() {
	p.freeze()
	p.suspending = p.frozen
}

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	if p.suspending {
		p.suspended += p.world.now - p.frozenAt
	}
	p.frozen, p.suspending = false, false
	waiting := p.deferred
	p.deferred = nil
	for position, run := range waiting {
		if p.frozen || !p.alive {
			p.deferred = append(p.deferred, waiting[position:]...)
			return
		}
		run()
	}
}

func (w *World) cut(from, to *process) bool {
	if len(w.network.cuts) == 0 {
		return false
	}
	for _, source := range [...]string{from.zone, from.name} {
		for _, target := range [...]string{to.zone, to.name} {
			if source != target && w.network.cuts[[2]string{source, target}] {
				return true
			}
		}
	}
	return false
}

func (w *World) delay(from, to *process) int64 {
	delay := w.between(0, w.network.jitterMillis)
	if from.zone != to.zone {
		delay += w.network.zoneMillis
	}
	return delay
}

// datagram carries something that may be lost, repeated and reordered.
func (w *World) datagram(from, to *process, deliver func()) {
	copies := 1
	if w.percent(w.network.dupPercent) {
		copies = 2
	}
	for range copies {
		if w.cut(from, to) || w.percent(w.network.lossPercent) {
			continue
		}
		life := to.life
		w.schedule(w.delay(from, to), func() {
			if to.alive && to.life == life && !w.cut(from, to) {
				to.enter(deliver)
			}
		})
	}
}
