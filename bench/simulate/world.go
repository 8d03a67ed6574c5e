// Package simulate runs the cores of control replicas and nodes, with model engines, in virtual
// time, injects faults, and checks each run with the oracle. All randomness comes from one seed, so
// that a seed always reproduces the same run.
package simulate

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"

	"github.com/dillchute/dillchute/bench/oracle"
)

// wallClockStart is the wall-clock time at the start of a run, in milliseconds since the Unix epoch.
const wallClockStart = 1_700_000_000_000

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

// network holds the delays and the current faults of the network.
type network struct {
	// A message is delayed by up to jitterMillis, and by zoneMillis in addition between zones.
	zoneMillis       int64
	jitterMillis     int64
	lossPercent      int
	duplicatePercent int
	// blockedPairs holds pairs of source and target between which messages are dropped. Each is the
	// name of a zone or a process.
	blockedPairs map[[2]string]bool
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
	// keepTrace keeps the whole trace; the digest is computed in any case.
	keepTrace bool
	faults    map[string]int
	// clocksSkipSuspensions makes monotonic clocks stop while their machines are suspended, to
	// simulate a bug in the product.
	clocksSkipSuspensions bool
}

func newWorld(seed uint64) *World {
	return &World{
		random: rand.New(rand.NewPCG(seed, 0)), digest: fnv.New64a(), faults: map[string]int{},
		network: network{zoneMillis: 1, jitterMillis: 2, blockedPairs: map[[2]string]bool{}},
	}
}

func (w *World) schedule(delay int64, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), sequence: w.sequence, run: run})
}

// runUntil runs events up to the time limit, or until done returns true.
func (w *World) runUntil(limit int64, done func() bool) {
	for len(w.events) > 0 && w.events[0].at <= limit && !done() {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
}

// tracef adds a line to the trace.
func (w *World) tracef(format string, arguments ...any) {
	line := fmt.Sprintf("%8d ", w.now) + fmt.Sprintf(format, arguments...)
	w.digest.Write([]byte(line))
	if w.keepTrace {
		w.trace = append(w.trace, line)
	}
}

func (w *World) recordFault(kind, format string, arguments ...any) {
	w.faults[kind]++
	w.tracef("FAULT "+kind+" "+format, arguments...)
}

// record adds an event to the history for the oracle.
func (w *World) record(observed oracle.Event) {
	observed.At = w.now
	w.history = append(w.history, observed)
}

func (w *World) randomBetween(low, high int64) int64 { return low + w.random.Int64N(high-low+1) }

func (w *World) randomPercent(percent int) bool { return percent > 0 && w.random.IntN(100) < percent }

// process is a simulated process, which can crash, stall and be partitioned from others.
type process struct {
	world   *World
	name    string
	zone    string
	address string
	alive   bool
	frozen  bool
	// incarnation counts the starts of the process; events for an earlier incarnation are dropped.
	incarnation    int
	startedAt      int64
	clockRate      float64
	wallSkewMillis int64
	deferred       []func()
	// machineSuspended is set while the process is frozen because its machine is suspended.
	// suspendedMillis is the total time of earlier suspensions in this incarnation.
	machineSuspended          bool
	frozenAt, suspendedMillis int64
}

// maxClockDrift bounds the rate error of monotonic clocks, and maxWallSkewMillis the offset of
// wall clocks.
const (
	maxClockDrift     = 0.02
	maxWallSkewMillis = 300
)

func (w *World) newProcess(name, zone string) *process {
	return &process{
		world: w, name: name, zone: zone, address: name,
		clockRate:      1 + maxClockDrift*(2*w.random.Float64()-1),
		wallSkewMillis: w.randomBetween(-maxWallSkewMillis, maxWallSkewMillis),
	}
}

func (p *process) markStarted() {
	p.alive, p.frozen, p.machineSuspended, p.deferred, p.suspendedMillis = true, false, false, nil, 0
	p.incarnation++
	p.startedAt = p.world.now
}

func (p *process) markStopped() {
	p.alive, p.frozen, p.machineSuspended, p.deferred = false, false, false, nil
}

// monotonicClock returns the time since the process started on its drifting monotonic clock. It
// includes suspensions, as in package clock, unless clocksSkipSuspensions is set.
func (p *process) monotonicClock() int64 {
	elapsed := p.world.now - p.startedAt
	if p.world.clocksSkipSuspensions {
		elapsed -= p.suspendedMillis
	}
	return int64(float64(elapsed) * p.clockRate)
}

func (p *process) wallClock() int64 { return wallClockStart + p.world.now + p.wallSkewMillis }

// after runs the function after the delay, once the process is not frozen, unless the process has
// ended or restarted since.
func (p *process) after(delay int64, run func()) {
	incarnation := p.incarnation
	p.world.schedule(delay, func() {
		if p.incarnation != incarnation || !p.alive {
			return
		}
		if p.machineSuspended {
			// Timers stop while the machine is suspended and run for their remaining time afterwards.
			remaining := p.world.now - p.frozenAt
			p.runOrDefer(func() { p.after(remaining, run) })
			return
		}
		p.runOrDefer(run)
	})
}

// runOrDefer runs the function now, or when a frozen process resumes.
func (p *process) runOrDefer(run func()) {
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

// suspend freezes the process and its timers, as a suspension of its machine does.
func (p *process) suspend() {
	p.freeze()
	p.machineSuspended = p.frozen
}

func (p *process) resume() {
	if !p.frozen {
		return
	}
	if p.machineSuspended {
		p.suspendedMillis += p.world.now - p.frozenAt
	}
	p.frozen, p.machineSuspended = false, false
	deferred := p.deferred
	p.deferred = nil
	for position, run := range deferred {
		if p.frozen || !p.alive {
			p.deferred = append(p.deferred, deferred[position:]...)
			return
		}
		run()
	}
}

func (w *World) blocked(from, to *process) bool {
	if len(w.network.blockedPairs) == 0 {
		return false
	}
	for _, source := range [...]string{from.zone, from.name} {
		for _, target := range [...]string{to.zone, to.name} {
			if source != target && w.network.blockedPairs[[2]string{source, target}] {
				return true
			}
		}
	}
	return false
}

func (w *World) messageDelay(from, to *process) int64 {
	delay := w.randomBetween(0, w.network.jitterMillis)
	if from.zone != to.zone {
		delay += w.network.zoneMillis
	}
	return delay
}

// sendDatagram delivers a message that may be lost, duplicated and reordered.
func (w *World) sendDatagram(from, to *process, deliver func()) {
	copies := 1
	if w.randomPercent(w.network.duplicatePercent) {
		copies = 2
	}
	for range copies {
		if w.blocked(from, to) || w.randomPercent(w.network.lossPercent) {
			continue
		}
		incarnation := to.incarnation
		w.schedule(w.messageDelay(from, to), func() {
			if to.alive && to.incarnation == incarnation && !w.blocked(from, to) {
				to.runOrDefer(deliver)
			}
		})
	}
}
