package server

import (
	"container/heap"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/quarantine"
)

// The simulation runs gateways, the directory and backends in virtual time, under faults, with the real code
// of the quarantine. Each crashing request is retried at any gateway and crashes each backend that runs it.
// With even seeds there are many crashing contents of one kind; with odd seeds there is one, of the kind of
// the harmless requests.

const (
	simGateways = 4
	simBackends = 4
	simAttempts = 2
	// simMinConnected is how long a gateway must have been connected, and simGracePeriod how long ago the
	// crash threshold was reached, before sends are limited. Times are in milliseconds.
	simMinConnected, simGracePeriod = 3000, 3000
	simEnd                          = 90_000
	// simMaxSyncDelay is how long after the directory recorded a crash a connected gateway must know
	// of it.
	simMaxSyncDelay = 100
	// simCrashingContents is the number of crashing contents with even seeds.
	simCrashingContents = 20
	simService          = "s"
)

type simEvent struct {
	at, order int64
	run       func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int)   { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(event any) { *e = append(*e, event.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRun is one attempt on a backend.
type simRun struct {
	gateway      *simGateway
	gatewayStart int
	verdict      quarantine.Verdict
	subject      quarantine.Subject
	onEnd        func(answered bool)
}

type simBackend struct {
	id, address string
	// keepsAddressAsName is set if all incarnations have the same name.
	keepsAddressAsName bool
	incarnation        directory.Incarnation
	up                 bool
	runs               map[*simRun]bool
}

type simGateway struct {
	guard   *quarantine.Guard
	catalog *directory.Catalog
	// starts counts the starts. The gateway is disconnected until disconnectedUntil, and its sends of
	// crashing requests are limited from connectedFrom.
	starts                           int
	disconnectedUntil, connectedFrom int64
	// startedAt is the time of the last start.
	startedAt int64
}

type simulation struct {
	random        *rand.Rand
	now           int64
	events        simEvents
	order         int64
	machine       *directory.Machine
	tracker       suspectTracker
	leaderSince   int64
	gateways      []*simGateway
	backends      []*simBackend
	backendStarts int
	// crashReportedAt is when the directory recorded the crash of each backend.
	crashReportedAt map[string]int64
	// overLimit counts suspects that were sent although their gateway must have known that too many
	// backends were unavailable.
	overLimit   int
	oneKind     bool
	crashes     int
	thresholdAt int64
	lateSends   int
	unserved    map[quarantine.Fingerprint]int64
}

const simCrashingKind = quarantine.Fingerprint("crashing kind")

// randomCrashingSubject returns a crashing request.
func (s *simulation) randomCrashingSubject() quarantine.Subject {
	if s.oneKind {
		return quarantine.Subject{Content: "crashing-0", Kind: simCrashingKind}
	}
	return quarantine.Subject{Content: quarantine.Fingerprint(fmt.Sprint("crashing-", s.random.IntN(simCrashingContents))), Kind: simCrashingKind}
}

// harmlessSubject returns the numbered harmless request.
func (s *simulation) harmlessSubject(number int) quarantine.Subject {
	kind := quarantine.Fingerprint("harmless kind")
	if s.oneKind {
		kind = simCrashingKind
	}
	return quarantine.Subject{Content: quarantine.Fingerprint(fmt.Sprint("harmless-", number)), Kind: kind}
}

func isCrashing(subject quarantine.Subject) bool {
	return strings.HasPrefix(string(subject.Content), "crashing-")
}

func (s *simulation) after(delay int64, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + delay, order: s.order, run: run})
}

func (s *simulation) randomBetween(low, high int64) int64 { return low + s.random.Int64N(high-low+1) }

func (s *simulation) time() time.Time { return time.UnixMilli(s.now) }

func (s *simulation) isConnected(g *simGateway) bool {
	return s.now >= g.disconnectedUntil && s.now >= s.leaderSince
}

func (s *simulation) apply(command directory.Command) directory.Result {
	result, err := directory.DecodeResult(s.machine.Apply(command.Encode()))
	if err != nil {
		panic("decode result: " + err.Error())
	}
	return result
}

// startGateway starts or restarts a gateway, which loads the directory.
func (s *simulation) startGateway(g *simGateway) {
	g.starts++
	g.startedAt = s.now
	g.catalog, g.connectedFrom = directory.NewCatalog(), s.now+simMinConnected
	g.guard = quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return g.catalog.Suspects },
		TakeTrial: func(_ context.Context, fingerprint quarantine.Fingerprint) bool {
			return s.isConnected(g) && s.apply(directory.Command{TakeTrial: fingerprint}).Granted
		},
	}, s.time)
	g.catalog = g.catalog.With(s.machine.DeltaSince(0))
	s.syncCatalog(g, g.starts)
	s.report(g, g.starts)
}

// syncCatalog updates the gateway's copy of the directory periodically.
func (s *simulation) syncCatalog(g *simGateway, start int) {
	s.after(s.randomBetween(5, 60), func() {
		if g.starts != start {
			return
		}
		if s.isConnected(g) {
			g.catalog = g.catalog.With(s.machine.DeltaSince(g.catalog.Revision))
		}
		s.syncCatalog(g, start)
	})
}

// report sends the gateway's reports periodically.
func (s *simulation) report(g *simGateway, start int) {
	s.after(s.randomBetween(10, 20), func() {
		if g.starts != start {
			return
		}
		if report := g.guard.TakeReport(); s.isConnected(g) {
			s.apply(directory.Command{Crashes: report.Crashes, Answered: report.Answered})
			s.recordReported(report)
		} else if !report.IsEmpty() {
			g.guard.RequeueReport(report)
		}
		s.report(g, start)
	})
}

// recordReported records when the directory recorded crashes.
func (s *simulation) recordReported(report quarantine.Report) {
	for _, crash := range report.Crashes {
		if _, known := s.crashReportedAt[crash.Backend]; !known {
			s.crashReportedAt[crash.Backend] = s.now
		}
	}
}

// knownUnavailable returns how many backends are unavailable of which the gateway must know, and whether it
// has been connected for long enough.
func (s *simulation) knownUnavailable(g *simGateway) (unavailable int, connected bool) {
	connected = s.now >= max(g.disconnectedUntil, s.leaderSince, g.startedAt)+simMaxSyncDelay
	catalog := directory.NewCatalog().With(s.machine.DeltaSince(0))
	for _, b := range catalog.Backends(simService) {
		at, known := s.crashReportedAt[b.ID]
		if known && at+simMaxSyncDelay <= s.now && catalog.HasCrashed(b.ID) {
			unavailable++
		}
	}
	return unavailable, connected
}

// review is the periodic review of the directory's leader.
func (s *simulation) review() {
	if s.now >= s.leaderSince {
		suspects := map[quarantine.Fingerprint]suspectVersion{}
		s.machine.Suspects(func(suspect quarantine.Suspect, revision uint64) {
			suspects[suspect.Fingerprint] = suspectVersion{suspect: suspect, revision: revision}
		})
		offer, forget := s.tracker.due(s.time(), suspects)
		for _, suspect := range offer {
			s.apply(directory.Command{OfferTrial: &suspect})
		}
		for _, suspect := range forget {
			s.apply(directory.Command{ForgetSuspect: &suspect})
		}
	}
	s.after(reviewInterval.Milliseconds(), s.review)
}

func (s *simulation) startBackend(b *simBackend) {
	s.backendStarts++
	incarnation := directory.Incarnation{Name: fmt.Sprint("b", s.backendStarts)}
	if b.keepsAddressAsName {
		incarnation = directory.Incarnation{Name: b.address, StartTime: s.now + 1}
	}
	previous := b.incarnation
	b.incarnation, b.id, b.up, b.runs = incarnation, incarnation.ID(), true, map[*simRun]bool{}
	s.register(b, incarnation)
	if b.keepsAddressAsName && previous.Name != "" {
		// A heartbeat of the previous incarnation arrives late, before or after this one's.
		s.after(s.randomBetween(0, 3000), func() { s.put(b, previous) })
	}
}

// register registers the backend once the directory has a leader.
func (s *simulation) register(b *simBackend, incarnation directory.Incarnation) {
	if b.incarnation != incarnation {
		return
	}
	if s.now < s.leaderSince {
		s.after(s.leaderSince-s.now, func() { s.register(b, incarnation) })
		return
	}
	s.put(b, incarnation)
}

// put registers an incarnation of the backend.
func (s *simulation) put(b *simBackend, incarnation directory.Incarnation) {
	backend := directory.Backend{Service: simService, Address: b.address, Slots: 1}.WithIncarnation(incarnation)
	s.apply(directory.Command{PutBackend: &backend})
}

// crash crashes a backend with all its runs.
func (s *simulation) crash(b *simBackend) {
	b.up = false
	s.crashes++
	if s.crashes == quarantine.CrashThreshold {
		s.thresholdAt = s.now
	}
	for run := range b.runs {
		if run.gateway.starts == run.gatewayStart {
			run.gateway.guard.RecordCrash(run.subject, b.id, run.verdict)
		}
		s.after(1, func() { run.onEnd(false) })
	}
	s.after(s.randomBetween(800, 4000), func() { s.startBackend(b) })
}

// send sends a request to up to simAttempts backends, and calls done with whether it got a response.
func (s *simulation) send(g *simGateway, subject quarantine.Subject, attempts int, trial bool, done func(bool)) {
	verdict := g.guard.CheckSubject(subject)
	noCapacity := forward.MaxSuspectBackends(g.catalog, simService, forward.KnownCrashedBackends(g.catalog, g.guard).Has) <= 0
	if verdict.Quarantined && verdict.TrialOffered && !trial && !noCapacity {
		if trial = g.guard.TakeTrial(context.Background(), verdict.Fingerprint); trial {
			attempts = 1
		}
	}
	b := s.chooseBackend(g, verdict.IsSuspect())
	if verdict.Quarantined && !trial || attempts == 0 || !b.up || verdict.IsSuspect() && noCapacity {
		done(false)
		return
	}
	if unavailable, connected := s.knownUnavailable(g); verdict.IsSuspect() && connected && unavailable >= quarantine.MaxUnavailable(simBackends) {
		s.overLimit++
	}
	run := &simRun{gateway: g, gatewayStart: g.starts, subject: subject, verdict: verdict}
	run.onEnd = func(answered bool) {
		if g.starts != run.gatewayStart {
			done(false)
			return
		}
		if answered {
			g.guard.RecordResponse(subject)
			done(true)
			return
		}
		if trial {
			done(false)
			return
		}
		s.send(g, subject, attempts-1, false, done)
	}
	b.runs[run] = true
	id := b.id
	if isCrashing(subject) {
		if s.thresholdAt > 0 && s.now > s.thresholdAt+simGracePeriod && s.now >= g.connectedFrom {
			s.lateSends++
		}
		s.after(s.randomBetween(20, 150), func() {
			if b.up && b.id == id {
				s.crash(b)
			}
		})
		return
	}
	s.after(s.randomBetween(10, 60), func() {
		if b.up && b.id == id && b.runs[run] {
			delete(b.runs, run)
			run.onEnd(true)
		}
	})
}

// chooseBackend returns a random backend, or for a suspect the first one that is not known to have crashed.
func (s *simulation) chooseBackend(g *simGateway, suspect bool) *simBackend {
	if suspect {
		crashed := forward.KnownCrashedBackends(g.catalog, g.guard)
		for _, b := range s.backends {
			if !crashed.Has(b.id) {
				return b
			}
		}
	}
	return s.backends[s.random.IntN(len(s.backends))]
}

// sendCrashing sends crashing requests periodically.
func (s *simulation) sendCrashing() {
	s.send(s.gateways[s.random.IntN(simGateways)], s.randomCrashingSubject(), simAttempts, false, func(bool) {})
	s.after(s.randomBetween(30, 1500), s.sendCrashing)
}

// sendHarmless sends a harmless request, retries it until it gets a response, and schedules the next one.
func (s *simulation) sendHarmless(number int) {
	subject := s.harmlessSubject(number)
	s.unserved[subject.Content] = s.now
	var attempt func()
	attempt = func() {
		s.send(s.gateways[s.random.IntN(simGateways)], subject, simAttempts, false, func(served bool) {
			if served {
				delete(s.unserved, subject.Content)
				return
			}
			s.after(s.randomBetween(50, 400), attempt)
		})
	}
	attempt()
	if s.now < simEnd {
		s.after(s.randomBetween(10, 90), func() { s.sendHarmless(number + 1) })
	}
}

// fault disconnects or restarts a gateway, or removes the leader.
func (s *simulation) fault() {
	g := s.gateways[s.random.IntN(simGateways)]
	switch s.random.IntN(3) {
	case 0:
		g.disconnectedUntil = s.now + s.randomBetween(500, 6000)
		g.connectedFrom = g.disconnectedUntil + simMinConnected
	case 1:
		s.startGateway(g)
	case 2:
		s.tracker, s.leaderSince = suspectTracker{}, s.now+s.randomBetween(100, 1500)
	}
	s.after(s.randomBetween(500, 6000), s.fault)
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), machine: directory.NewMachine(), oneKind: seed%2 == 1,
		unserved: map[quarantine.Fingerprint]int64{}, crashReportedAt: map[string]int64{},
	}
	for number := range simBackends {
		b := &simBackend{address: fmt.Sprint("address-", number), keepsAddressAsName: number%2 == 0}
		s.startBackend(b)
		s.backends = append(s.backends, b)
	}
	for range simGateways {
		g := &simGateway{}
		s.gateways = append(s.gateways, g)
		s.startGateway(g)
	}
	s.review()
	s.sendHarmless(0)
	s.after(s.randomBetween(0, 5000), s.sendCrashing)
	s.after(s.randomBetween(0, 5000), s.fault)
	return s
}

func (s *simulation) runUntil(limit int64) {
	for len(s.events) > 0 && s.events[0].at <= limit {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
}

// simServeTimeout is how long after the last harmless request all must have responses, in milliseconds. A
// quarantined one waits for its own trial.
const simServeTimeout = 15_000

var simSeeds = flag.Uint64("quarantine.seeds", 40, "number of seeds of the quarantine simulation")

// TestQuarantineUnderFaults checks that connected gateways send few crashing requests after the threshold and
// no suspects while too many backends are unavailable, and that harmless requests get responses.
func TestQuarantineUnderFaults(t *testing.T) {
	for seed := range *simSeeds {
		s := newSimulation(seed)
		s.runUntil(simEnd + simServeTimeout)
		require.GreaterOrEqual(t, s.crashes, quarantine.CrashThreshold, "seed %d", seed)
		require.LessOrEqual(t, s.lateSends, 3, "seed %d: %d crashes in total", seed, s.crashes)
		require.Zero(t, s.overLimit, "seed %d", seed)
		require.Empty(t, s.unserved, "seed %d", seed)
	}
}
