//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"
)

// The case "reward": the workers that score texts fail a part of their requests, by doing nothing until the
// deadline and then answering 504. A few calls always fail, with 500. No item may be dead before its reward call had
// max-attempts answers of 500.

const (
	// greyPart is x of srv_grey.
	greyPart = 0.4
	// failingPart is the part of the reward calls that always fail.
	failingPart  = 0.01
	rewardWork   = 30 * time.Millisecond
	stepGroups   = 29
	itemEvents   = 24
	stepInterval = 4 * time.Second
	rewardSteps  = 18
	maxWait      = 12 * time.Second
)

// rewardAnswers counts the answers to each reward call, by status.
type rewardAnswers struct {
	mutex  sync.Mutex
	counts map[string]map[int]int
	out    *record
}

func (a *rewardAnswers) add(id, worker string, status int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counts[id] == nil {
		a.counts[id] = map[int]int{}
	}
	a.counts[id][status]++
	a.out.add("worker %s answers %d to reward call %s", worker, status, id)
}

func (a *rewardAnswers) of(id string) (answers500 int, all string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts[id][http.StatusInternalServerError], fmt.Sprint(a.counts[id])
}

// alwaysFails reports whether the reward call is one of those that always fail.
func alwaysFails(reward string) bool {
	number, _ := strconv.ParseUint(reward[8:], 16, 64)
	return number%uint64(1/failingPart) == 7
}

// timerSlack is how late a timer may fire; a worker keeps its deadline to less than a millisecond.
const timerSlack = 3 * time.Millisecond

// workFor works until the time has passed since began. It returns false if the context ends first.
func workFor(ctx context.Context, began time.Time, work time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(work - timerSlack - time.Since(began)):
	}
	for time.Since(began) < work {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

func playReward(f *fleet, trouble bool) (broken bool, err error) {
	answers := &rewardAnswers{counts: map[string]map[int]int{}, out: f.out}
	random := rand.New(rand.NewPCG(7, 7))
	var randomMutex sync.Mutex
	struck := &strikes{}
	fails := func() bool {
		randomMutex.Lock()
		defer randomMutex.Unlock()
		return random.Float64() < greyPart
	}
	score := func(grey bool) func(w *worker, response http.ResponseWriter, request *http.Request, body []byte) {
		return func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
			began, id := time.Now(), request.Header.Get("Request-Id")
			work, status := rewardWork, http.StatusOK
			switch {
			case grey && struck.on() && fails():
				left, _ := strconv.Atoi(request.Header.Get("Deadline-Ms"))
				work, status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
			case alwaysFails(id):
				status = http.StatusInternalServerError
			}
			if !workFor(request.Context(), began, work) {
				// A worker drops a request once its connection closes.
				return
			}
			response.Header().Set("Server-Stamp", w.stamp(id))
			response.WriteHeader(status)
			answers.add(id, w.id, status)
		}
	}
	var workers []*worker
	for number := range 4 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-model%d", number), service: modelService, zone: zones[number%3], address: "127.0.0.1:0", model: model, slots: 8, fleet: f, events: itemEvents, pause: 30 * time.Millisecond})
	}
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: score(trouble)})
	}
	if err := f.bringUp(configuration(false), workers); err != nil {
		return false, err
	}
	struck.began = time.Now()
	began, done := time.Now(), 0
	for number := 0; number < rewardSteps && !broken && time.Since(began) < 85*time.Second; number++ {
		if number > 0 && !f.control(http.MethodPost, "/dillchute/version-put", map[string]any{"model": model, "version": number + 1}, 4*time.Second) {
			return false, errNotReady("a version was not noted")
		}
		s, body := newStep(number, stepGroups, itemEvents)
		if !f.submit(s, body) {
			return false, errNotReady("a batch job was not taken")
		}
		f.read(s, stepGroups*9/10)
		for _, item := range s.results {
			answers500, all := answers.of(s.rewards[item.ID])
			if item.State == "succeeded" {
				done++
			}
			if item.State == "dead" && answers500 < rewardTries && time.Since(s.sentAt) < maxWait {
				f.out.add("BROKEN: item %s is dead %.1f s after its batch job was sent; its reward call %s had %d answers of 500, of %d that allow it (all answers by status: %s)",
					item.ID, time.Since(s.sentAt).Seconds(), s.rewards[item.ID], answers500, rewardTries, all)
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
