//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "stamp": one of three workers that score texts spoils one of fifty answers, in one byte of the name of the
// header that holds its signature. No result may be listed as succeeded without the signature of a 2xx as its score.

const stampSteps = 10

// givenStamps holds the signatures of all answers, by reward call.
type givenStamps struct {
	mutex  sync.Mutex
	stamps map[string]map[string]bool
}

func (g *givenStamps) add(reward, stamp string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stamps[reward] == nil {
		g.stamps[reward] = map[string]bool{}
	}
	g.stamps[reward][stamp] = true
}

func (g *givenStamps) has(reward, stamp string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.stamps[reward][stamp]
}

func playStamp(f *fleet, trouble bool) (broken bool, err error) {
	given := &givenStamps{stamps: map[string]map[string]bool{}}
	var mutex sync.Mutex
	answers := 0
	struck := &strikes{}
	spoils := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !struck.on() {
			return false
		}
		answers++
		return answers%spoiltInterval == 0
	}
	score := func(faulty bool) func(w *worker, response http.ResponseWriter, request *http.Request, body []byte) {
		return func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
			id := request.Header.Get("Request-Id")
			time.Sleep(rewardWork)
			name, stamp := "Server-Stamp", w.stamp(id)
			if faulty && spoils() {
				name = "Server-Stbmp"
				f.out.add("worker %s spoils one byte of its answer 200 to reward call %s: %s: %s", w.id, id, name, stamp)
			} else {
				given.add(id, stamp)
				f.out.add("worker %s answers 200 to reward call %s: %s", w.id, id, stamp)
			}
			response.Header().Set(name, stamp)
		}
	}
	var workers []*worker
	for number := range 4 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-model%d", number), service: modelService, zone: zones[number%3], address: "127.0.0.1:0", model: model, slots: 8, fleet: f, events: itemEvents, pause: 30 * time.Millisecond})
	}
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: score(trouble && number == 0)})
	}
	if err := f.bringUp(configuration(false), workers); err != nil {
		return false, err
	}
	struck.began = time.Now()
	done := 0
	for number := 0; number < stampSteps && !broken; number++ {
		if number > 0 && !f.control(http.MethodPost, "/dillchute/version-put", map[string]any{"model": model, "version": number + 1}, 4*time.Second) {
			return false, errNotReady("a version was not noted")
		}
		s, body := newStep(number, stepGroups, itemEvents)
		if !f.submit(s, body) {
			return false, errNotReady("a batch job was not taken")
		}
		f.read(s, stepGroups*9/10)
		for _, item := range s.results {
			if item.State != "succeeded" {
				continue
			}
			done++
			if reward := s.rewards[item.ID]; !given.has(reward, item.Score) {
				f.out.add("BROKEN: item %s is listed as succeeded with the score %q; no 2xx to its reward call %s had that signature", item.ID, item.Score, reward)
				broken = true
			}
		}
		f.end(s)
		time.Sleep(max(0, stepInterval-time.Since(s.sentAt)))
	}
	f.out.add("%d items succeeded", done)
	if done == 0 {
		return broken, errNotReady("no item succeeded")
	}
	return broken, nil
}
