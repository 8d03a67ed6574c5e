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

// The simulation here plays gateways, the directory and backends in virtual time, with the
// quarantine's real cores: the directory's machine, each gateway's guard, the room for suspects,
// and the leader's clock of suspects. Deadly requests come again and again at any gateway and end
// each backend that runs them, with whatever else runs there; sound requests come all the time.
// With even seeds many contents are deadly, all of one kind; with odd seeds one is, and all sound
// requests are of its kind. Gateways are cut off from the directory and start anew, and the
// directory changes its leader.

const (
	simGateways = 4
	simBackends = 4
	simAttempts = 2
	// simContact is how long a gateway must have been in touch to be held to the bound, and
	// simLate how long after the third crash sends count, in milliseconds.
	simContact, simLate = 3000, 3000
	simEnd              = 90_000
	// simNews is how long after the directory has taken in a crash a gateway in touch must know
	// of it, in milliseconds.
	simNews = 100
	// simContents is the number of deadly contents with even seeds.
	simContents = 20
	simService  = "s"
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
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(one any) { *e = append(*e, one.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRun is one attempt at a backend.
type simRun struct {
	gateway *simGateway
	life    int
	verdict quarantine.Verdict
	subject quarantine.Subject
	ended   func(answered bool)
}

type simBackend struct {
	id, address string
	// keepsName is set on one that starts again under the name that it had.
	keepsName bool
	life      directory.Incarnation
	up        bool
	runs      map[*simRun]bool
}

type simGateway struct {
	guard *quarantine.Guard
	view  *directory.Catalog
	// life counts the starts, and cutUntil and touchedFrom say when it hears the directory.
	life                  int
	cutUntil, touchedFrom int64
	// startedAt is when it started last.
	startedAt int64
}

type simulation struct {
	random   *rand.Rand
	now      int64
	events   simEvents
	order    int64
	machine  *directory.Machine
	clock    suspectClock
	leaderAt int64
	gateways []*simGateway
	backends []*simBackend
	started  int
	// knownAt is when the directory took in the end of each backend.
	knownAt map[string]int64
	// overdrawn counts suspects that were sent although too many backends were away by what their
	// gateway must have known.
	overdrawn int
	oneKind   bool
	crashes   int
	thirdAt   int64
	late      int
	unserved  map[quarantine.Fingerprint]int64
}

const simDeadlyKind = quarantine.Fingerprint("deadly kind")

// drawDeadly returns a deadly request.
func (s *simulation) drawDeadly() quarantine.Subject {
	if s.oneKind {
		return quarantine.Subject{Content: "deadly-0", Kind: simDeadlyKind}
	}
	return quarantine.Subject{Content: quarantine.Fingerprint(fmt.Sprint("deadly-", s.random.IntN(simContents))), Kind: simDeadlyKind}
}

// sound returns the numbered sound request.
func (s *simulation) sound(number int) quarantine.Subject {
	kind := quarantine.Fingerprint("sound kind")
	if s.oneKind {
		kind = simDeadlyKind
	}
	return quarantine.Subject{Content: quarantine.Fingerprint(fmt.Sprint("sound-", number)), Kind: kind}
}

func isDeadly(subject quarantine.Subject) bool {
	return strings.HasPrefix(string(subject.Content), "deadly-")
}

func (s *simulation) after(delay int64, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + delay, order: s.order, run: run})
}

func (s *simulation) between(low, high int64) int64 { return low + s.random.Int64N(high-low+1) }

func (s *simulation) time() time.Time { return time.UnixMilli(s.now) }

func (s *simulation) hears(g *simGateway) bool { return s.now >= g.cutUntil && s.now >= s.leaderAt }

func (s *simulation) apply(command directory.Command) directory.Result {
	result, err := directory.DecodeResult(s.machine.Apply(command.Encode()))
	if err != nil {
		panic("a result must decode: " + err.Error())
	}
	return result
}

// startGateway starts a gateway or starts it anew: it knows what the directory confirms.
func (s *simulation) startGateway(g *simGateway) {
	g.life++
	g.startedAt = s.now
	g.view, g.touchedFrom = directory.NewCatalog(), s.now+simContact
	g.guard = quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return g.view.Suspects },
		TakeTrial: func(_ context.Context, fingerprint quarantine.Fingerprint) bool {
			return s.hears(g) && s.apply(directory.Command{TakeTrial: fingerprint}).Granted
		},
	}, s.time)
	g.view = g.view.With(s.machine.DeltaSince(0))
	s.follow(g, g.life)
	s.tell(g, g.life)
}

// follow has the gateway learn what has changed, a little late.
func (s *simulation) follow(g *simGateway, life int) {
	s.after(s.between(5, 60), func() {
		if g.life != life {
			return
		}
		if s.hears(g) {
			g.view = g.view.With(s.machine.DeltaSince(g.view.Revision))
		}
		s.follow(g, life)
	})
}

// tell has the gateway tell what it has seen.
func (s *simulation) tell(g *simGateway, life int) {
	s.after(s.between(10, 20), func() {
		if g.life != life {
			return
		}
		if news := g.guard.TakeReport(); s.hears(g) {
			s.apply(directory.Command{Crashes: news.Crashes, Answered: news.Answered})
			s.noteKnown(news)
		} else if !news.IsEmpty() {
			g.guard.RequeueReport(news)
		}
		s.tell(g, life)
	})
}

// noteKnown notes which backends' ends the directory has taken in.
func (s *simulation) noteKnown(news quarantine.Report) {
	for _, crash := range news.Crashes {
		if _, known := s.knownAt[crash.Backend]; !known {
			s.knownAt[crash.Backend] = s.now
		}
	}
}

// mustKnow returns how many backends are away of which the gateway must know, and tells whether
// it has been in touch for long enough.
func (s *simulation) mustKnow(g *simGateway) (away int, inTouch bool) {
	inTouch = s.now >= max(g.cutUntil, s.leaderAt, g.startedAt)+simNews
	named := directory.NewCatalog().With(s.machine.DeltaSince(0))
	for _, b := range named.Backends(simService) {
		at, known := s.knownAt[b.ID]
		if known && at+simNews <= s.now && named.HasCrashed(b.ID) {
			away++
		}
	}
	return away, inTouch
}

// review is the leader's.
func (s *simulation) review() {
	if s.now >= s.leaderAt {
		suspects := map[quarantine.Fingerprint]suspectAt{}
		s.machine.Suspects(func(suspect quarantine.Suspect, revision uint64) {
			suspects[suspect.Fingerprint] = suspectAt{suspect: suspect, revision: revision}
		})
		try, forget := s.clock.due(s.time(), suspects)
		for _, one := range try {
			s.apply(directory.Command{OfferTrial: &one})
		}
		for _, one := range forget {
			s.apply(directory.Command{ForgetSuspect: &one})
		}
	}
	s.after(reviewInterval.Milliseconds(), s.review)
}

func (s *simulation) startBackend(b *simBackend) {
	s.started++
	life := directory.Incarnation{Name: fmt.Sprint("b", s.started)}
	if b.keepsName {
		life = directory.Incarnation{Name: b.address, StartTime: s.now + 1}
	}
	earlier := b.life
	b.life, b.id, b.up, b.runs = life, life.ID(), true, map[*simRun]bool{}
	s.register(b, life)
	if b.keepsName && earlier.Name != "" {
		// A heartbeat of the life before comes late, after this one's or before it.
		s.after(s.between(0, 3000), func() { s.put(b, earlier) })
	}
}

// register has the backend's heartbeat reach the directory once there is a leader.
func (s *simulation) register(b *simBackend, life directory.Incarnation) {
	if b.life != life {
		return
	}
	if s.now < s.leaderAt {
		s.after(s.leaderAt-s.now, func() { s.register(b, life) })
		return
	}
	s.put(b, life)
}

// put registers a life of the backend.
func (s *simulation) put(b *simBackend, life directory.Incarnation) {
	backend := directory.Backend{Service: simService, Address: b.address, Slots: 1}.WithIncarnation(life)
	s.apply(directory.Command{PutBackend: &backend})
}

// crash ends a backend with all that runs on it.
func (s *simulation) crash(b *simBackend) {
	b.up = false
	s.crashes++
	if s.crashes == quarantine.CrashThreshold {
		s.thirdAt = s.now
	}
	for run := range b.runs {
		if run.gateway.life == run.life {
			run.gateway.guard.RecordCrash(run.subject, b.id, run.verdict)
		}
		s.after(1, func() { run.ended(false) })
	}
	s.after(s.between(800, 4000), func() { s.startBackend(b) })
}

// send sends a request to up to simAttempts backends, and calls done with whether it is served.
func (s *simulation) send(g *simGateway, subject quarantine.Subject, left int, trial bool, done func(bool)) {
	verdict := g.guard.CheckSubject(subject)
	spared := forward.MaxSuspectBackends(g.view, g.guard, simService) <= 0
	if verdict.Quarantined && verdict.TrialOffered && !trial && !spared {
		if trial = g.guard.TakeTrial(context.Background(), verdict.Fingerprint); trial {
			left = 1
		}
	}
	b := s.choose(g, verdict.IsSuspect())
	if verdict.Quarantined && !trial || left == 0 || !b.up || verdict.IsSuspect() && spared {
		done(false)
		return
	}
	if away, inTouch := s.mustKnow(g); verdict.IsSuspect() && inTouch && away >= quarantine.MaxUnavailable(simBackends) {
		s.overdrawn++
	}
	run := &simRun{gateway: g, life: g.life, subject: subject, verdict: verdict}
	run.ended = func(answered bool) {
		if g.life != run.life {
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
		s.send(g, subject, left-1, false, done)
	}
	b.runs[run] = true
	id := b.id
	if isDeadly(subject) {
		if s.thirdAt > 0 && s.now > s.thirdAt+simLate && s.now >= g.touchedFrom {
			s.late++
		}
		s.after(s.between(20, 150), func() {
			if b.up && b.id == id {
				s.crash(b)
			}
		})
		return
	}
	s.after(s.between(10, 60), func() {
		if b.up && b.id == id && b.runs[run] {
			delete(b.runs, run)
			run.ended(true)
		}
	})
}

// choose returns the backend for a request: for a suspect the first that is not away.
func (s *simulation) choose(g *simGateway, suspect bool) *simBackend {
	if suspect {
		ends := forward.KnownCrashedBackends(g.view, g.guard)
		for _, b := range s.backends {
			if !ends.Has(b.id) {
				return b
			}
		}
	}
	return s.backends[s.random.IntN(len(s.backends))]
}

// deadlyComes has the deadly request come again.
func (s *simulation) deadlyComes() {
	s.send(s.gateways[s.random.IntN(simGateways)], s.drawDeadly(), simAttempts, false, func(bool) {})
	s.after(s.between(30, 1500), s.deadlyComes)
}

// soundComes has a sound request come, and again until it is served.
func (s *simulation) soundComes(number int) {
	subject := s.sound(number)
	s.unserved[subject.Content] = s.now
	var try func()
	try = func() {
		s.send(s.gateways[s.random.IntN(simGateways)], subject, simAttempts, false, func(served bool) {
			if served {
				delete(s.unserved, subject.Content)
				return
			}
			s.after(s.between(50, 400), try)
		})
	}
	try()
	if s.now < simEnd {
		s.after(s.between(10, 90), func() { s.soundComes(number + 1) })
	}
}

// fault cuts a gateway off, starts one anew, or takes the leader away.
func (s *simulation) fault() {
	g := s.gateways[s.random.IntN(simGateways)]
	switch s.random.IntN(3) {
	case 0:
		g.cutUntil = s.now + s.between(500, 6000)
		g.touchedFrom = g.cutUntil + simContact
	case 1:
		s.startGateway(g)
	case 2:
		s.clock, s.leaderAt = suspectClock{}, s.now+s.between(100, 1500)
	}
	s.after(s.between(500, 6000), s.fault)
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), machine: directory.NewMachine(), oneKind: seed%2 == 1,
		unserved: map[quarantine.Fingerprint]int64{}, knownAt: map[string]int64{},
	}
	for number := range simBackends {
		b := &simBackend{address: fmt.Sprint("address-", number), keepsName: number%2 == 0}
		s.startBackend(b)
		s.backends = append(s.backends, b)
	}
	for range simGateways {
		g := &simGateway{}
		s.gateways = append(s.gateways, g)
		s.startGateway(g)
	}
	s.review()
	s.soundComes(0)
	s.after(s.between(0, 5000), s.deadlyComes)
	s.after(s.between(0, 5000), s.fault)
	return s
}

func (s *simulation) runUntil(limit int64) {
	for len(s.events) > 0 && s.events[0].at <= limit {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
}

// simPatience is how long after the last sound request all are served, in milliseconds: a sound
// one that was held back waits for a trial of its own.
const simPatience = 15_000

var simSeeds = flag.Uint64("quarantine.seeds", 40, "seeds of the simulation of the quarantine")

// TestQuarantineUnderFaults: in each run few sends of deadly requests come late from gateways in
// touch, no suspect is sent while too many backends are away, as far as its gateway must know, and
// each sound request is served in the end.
func TestQuarantineUnderFaults(t *testing.T) {
	for seed := range *simSeeds {
		s := newSimulation(seed)
		s.runUntil(simEnd + simPatience)
		require.GreaterOrEqual(t, s.crashes, quarantine.CrashThreshold, "seed %d", seed)
		require.LessOrEqual(t, s.late, 3, "seed %d: %d ended in all", seed, s.crashes)
		require.Zero(t, s.overdrawn, "seed %d", seed)
		require.Empty(t, s.unserved, "seed %d", seed)
	}
}
