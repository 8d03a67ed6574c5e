//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "spoil": half of the model workers hand out a wrong byte in one of fifty answers, for a time. Steps must
// not run out of time after that while their items are at no worker.

const (
	// spoiltInterval is the inverse of x of garble: one of so many answers is spoilt.
	spoiltInterval = 50
	// spoiltAnswers is the number of spoilt answers after which the trouble ends.
	spoiltAnswers = 3
	spoilSteps    = 14
)

func playSpoil(f *fleet, trouble bool) (broken bool, err error) {
	runs := &runLog{at: map[string]int{}, leftAt: map[string]time.Time{}, finished: map[string]bool{}, out: f.out}
	var mutex sync.Mutex
	answers, spoilt := 0, 0
	struck := &strikes{}
	var spoiltAt, fullSince time.Time
	spoils := func(*worker, string) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !struck.on() {
			return false
		}
		answers++
		if answers%spoiltInterval != 0 || spoilt == spoiltAnswers {
			return false
		}
		spoilt++
		spoiltAt = time.Now()
		return true
	}
	var models, workers []*worker
	for number := range 4 {
		w := &worker{id: fmt.Sprintf("i-model%d", number), service: modelService, zone: zones[number%3], address: "127.0.0.1:0", model: model,
			slots: 8, fleet: f, events: itemEvents, pause: 30 * time.Millisecond, onRun: runs.record}
		if trouble && number < 2 {
			w.spoils = spoils
		}
		models = append(models, w)
	}
	score := func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
		time.Sleep(rewardWork)
		response.Header().Set("Server-Stamp", w.stamp(request.Header.Get("Request-Id")))
	}
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: score})
	}
	if err := f.bringUp(configuration(false), append(workers, models...)); err != nil {
		return false, err
	}
	struck.began = time.Now()
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			if 2*runningAt(models) >= slotsOf(models) {
				mutex.Lock()
				fullSince = time.Now()
				mutex.Unlock()
			}
		}
	}()
	var namedAt time.Time
	for number := 0; number < spoilSteps && !broken; number++ {
		if number > 0 {
			if !f.control(http.MethodPost, "/dillchute/version-put", map[string]any{"model": model, "version": number + 1}, 4*time.Second) {
				return false, errNotReady("a version was not noted")
			}
			namedAt = time.Now()
		}
		s, body := newStep(number, stepGroups, itemEvents)
		if !f.submit(s, body) {
			return false, errNotReady("a batch job was not taken")
		}
		f.read(s, stepGroups*9/10)
		outOfTime := s.wholeGroups() < stepGroups*9/10
		f.out.add("step %d: %d of %d groups are whole after %.1f s, out of time: %t", number, s.wholeGroups(), stepGroups, time.Since(s.sentAt).Seconds(), outOfTime)
		mutex.Lock()
		excuses := []time.Time{namedAt.Add(namedTime), spoiltAt.Add(contactTime), fullSince}
		mutex.Unlock()
		broken = outOfTime && runs.lost(s, excuses...)
		f.end(s)
		if broken {
			f.lookFurther(runs, number+1)
		}
		time.Sleep(max(0, stepInterval-time.Since(s.sentAt)))
	}
	if trouble && spoilt < spoiltAnswers && !broken {
		return false, errNotReady("too few answers were spoilt")
	}
	return broken, nil
}

// lookFurther records how a further step fares after the rule was broken. It decides nothing.
func (f *fleet) lookFurther(runs *runLog, number int) {
	s, body := newStep(number, stepGroups, itemEvents)
	s.results = nil
	if !f.submit(s, body) {
		return
	}
	f.read(s, stepGroups*9/10)
	begun := 0
	runs.mutex.Lock()
	for _, item := range s.items {
		if !runs.leftAt[item].IsZero() || runs.at[item] > 0 {
			begun++
		}
	}
	runs.mutex.Unlock()
	f.out.add("for information: of step %d, sent after that, %d of %d items had begun after %.1f s", number, begun, len(s.items), time.Since(s.sentAt).Seconds())
	f.end(s)
}
