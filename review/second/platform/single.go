//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "single": on a route with single-version, a model worker is lost for good while it runs items that began
// under the older of the two versions that their step allows. Their step must not run out of time while they are at
// no worker.

const (
	singleGroups = 6
	singleEvents = 130
	trainingTime = 500 * time.Millisecond
	// contactTime is contact-ms, namedTime and idleTime are the spans of the rule LOST.
	contactTime = 3 * time.Second
	namedTime   = 6 * time.Second
	idleTime    = 5 * time.Second
	crashDelay  = 1500 * time.Millisecond
)

// runLog records when each item was at a worker.
type runLog struct {
	mutex sync.Mutex
	// at counts the workers that run an item now; leftAt is when it last was at one, finished whether a run was whole.
	at       map[string]int
	leftAt   map[string]time.Time
	finished map[string]bool
	out      *record
}

func (l *runLog) record(w *worker, item string, begins bool, last int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, version := w.load()
	if begins {
		l.at[item]++
		l.out.add("item %s begins at worker %s under version %d after event %d", item, w.id, version, last)
		return
	}
	l.at[item]--
	l.leftAt[item] = time.Now()
	l.finished[item] = l.finished[item] || last == w.events
	l.out.add("item %s ends at worker %s after event %d of %d", item, w.id, last, w.events)
}

// lost reports whether an item of a step that is out of time was at no worker for too long, and was finished by none.
// None of the times excuses the system: it counts from the latest of them, and of the item's last end at a worker.
func (l *runLog) lost(s *step, excuses ...time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	timeout := s.sentAt.Add(deadline)
	begun, lost := 0, 0
	for _, item := range s.items {
		if !l.leftAt[item].IsZero() || l.at[item] > 0 {
			begun++
		}
	}
	for _, item := range s.items {
		from := latest(append(excuses, l.leftAt[item], s.sentAt)...)
		if l.at[item] == 0 && !l.finished[item] && timeout.Sub(from) >= idleTime && begun > 0 {
			if lost++; lost <= 3 {
				l.out.add("BROKEN: step %d ran out of time; item %s was at no worker at its end, and the last %.1f s of that have no excuse",
					s.number, item, timeout.Sub(from).Seconds())
			}
		}
	}
	l.out.add("step %d: %d of %d items had begun, %d were at no worker for too long", s.number, begun, len(s.items), lost)
	return lost > 0
}

func playSingle(f *fleet, trouble bool) (broken bool, err error) {
	runs := &runLog{at: map[string]int{}, leftAt: map[string]time.Time{}, finished: map[string]bool{}, out: f.out}
	var models, workers []*worker
	for number := range 3 {
		models = append(models, &worker{id: fmt.Sprintf("i-model%d", number), service: modelService, zone: zones[number], address: "127.0.0.1:0", model: model,
			slots: 8, fleet: f, events: singleEvents, pause: 30 * time.Millisecond, onRun: runs.record})
	}
	score := func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
		time.Sleep(rewardWork)
		response.Header().Set("Server-Stamp", w.stamp(request.Header.Get("Request-Id")))
	}
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: score})
	}
	if err := f.bringUp(configuration(true), append(workers, models...)); err != nil {
		return false, err
	}
	if err := f.playStep(0); err != nil {
		return false, err
	}
	time.Sleep(trainingTime)
	if !f.control(http.MethodPost, "/dillchute/version-put", map[string]any{"model": model, "version": 2}, 4*time.Second) {
		return false, errNotReady("a version was not noted")
	}
	namedAt, crashedAt := time.Now(), time.Time{}
	f.out.add("version 2 is named")
	fullSince := time.Now()
	watch := func(s *step) {
		for time.Since(s.sentAt) < deadline && !s.ended {
			if trouble && crashedAt.IsZero() && time.Since(s.sentAt) >= crashDelay {
				if victim := oldest(models); victim != nil {
					running, version := victim.load()
					crashedAt = time.Now()
					f.out.add("worker %s is lost for good; it runs %d items under version %d", victim.id, running, version)
					victim.crash()
				}
			}
			if 2*runningAt(models) >= slotsOf(models) {
				fullSince = time.Now()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s, body := newStep(1, singleGroups, singleEvents)
	if !f.submit(s, body) {
		return false, errNotReady("a batch job was not taken")
	}
	go watch(s)
	f.read(s, singleGroups*9/10)
	outOfTime := s.wholeGroups() < singleGroups*9/10
	f.out.add("step 1: %d of %d groups are whole after %.1f s, out of time: %t", s.wholeGroups(), singleGroups, time.Since(s.sentAt).Seconds(), outOfTime)
	if trouble && crashedAt.IsZero() {
		return false, errNotReady("no worker ran items under the older version")
	}
	broken = outOfTime && runs.lost(s, namedAt.Add(namedTime), crashedAt.Add(contactTime), fullSince)
	f.end(s)
	return broken, nil
}

// playStep plays a step that nothing disturbs.
func (f *fleet) playStep(number int) error {
	s, body := newStep(number, singleGroups, singleEvents)
	if !f.submit(s, body) {
		return errNotReady("a batch job was not taken")
	}
	f.read(s, singleGroups*9/10)
	if s.wholeGroups() < singleGroups*9/10 {
		return errNotReady("an undisturbed step ran out of time")
	}
	f.end(s)
	return nil
}

// oldest returns a worker that runs items under version 1, the one with the most of them, or nil.
func oldest(workers []*worker) *worker {
	var found *worker
	most := 0
	for _, w := range workers {
		if running, version := w.load(); version == 1 && running > most {
			found, most = w, running
		}
	}
	return found
}

func runningAt(workers []*worker) int {
	total := 0
	for _, w := range workers {
		if running, _ := w.load(); !w.isGone() {
			total += running
		}
	}
	return total
}

func slotsOf(workers []*worker) int {
	total := 0
	for _, w := range workers {
		if !w.isGone() {
			total += w.slots
		}
	}
	return total
}

func latest(times ...time.Time) time.Time {
	var newest time.Time
	for _, t := range times {
		if t.After(newest) {
			newest = t
		}
	}
	return newest
}
