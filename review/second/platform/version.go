//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The case "version": a model worker is lost for good, and its items continue elsewhere under a newer version. One worker
// spoils one of fifty answers, in one byte of the name of the header that holds the version. The versions of a result
// must be those that made its text.

const (
	versionGroups = 6
	versionEvents = 60
	// lastGroups leaves slots free in the step in which a worker is lost.
	lastGroups = 4
	crashLimit = 1600 * time.Millisecond
)

// madeBy records which version made each event of each item, as sent by the workers.
type madeBy struct {
	mutex    sync.Mutex
	versions map[string]map[int]uint64
}

func (m *madeBy) add(item string, event int, version uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.versions[item] == nil {
		m.versions[item] = map[int]uint64{}
	}
	m.versions[item][event] = version
}

// of returns the versions that made the item's events, in order.
func (m *madeBy) of(item string) []uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var versions []uint64
	for _, version := range m.versions[item] {
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

func playVersion(f *fleet, trouble bool) (broken bool, err error) {
	runs := &runLog{at: map[string]int{}, leftAt: map[string]time.Time{}, finished: map[string]bool{}, out: f.out}
	made := &madeBy{versions: map[string]map[int]uint64{}}
	var mutex sync.Mutex
	answers, spoilt := map[string]int{}, 0
	struck := &strikes{}
	var spoiler *worker
	// The worker that spoils answers spoils the first one that continues an item, after it has given enough others.
	spoils := func(w *worker, _ string, after int) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !struck.on() {
			return false
		}
		answers[w.id]++
		if w != spoiler || after == 0 || answers[w.id] < spoiltInterval*(spoilt+1) {
			return false
		}
		spoilt++
		return true
	}
	var models, workers []*worker
	for number := range 3 {
		models = append(models, &worker{id: fmt.Sprintf("i-model%d", number), service: modelService, zone: zones[number], address: "127.0.0.1:0", model: model,
			slots: 8, fleet: f, events: versionEvents, pause: 30 * time.Millisecond, onRun: runs.record, onEvent: made.add})
	}
	score := func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
		time.Sleep(rewardWork)
		response.Header().Set("Server-Stamp", w.stamp(request.Header.Get("Request-Id")))
	}
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: score})
	}
	for _, w := range models {
		w.spoilsVersion = spoils
	}
	if err := f.bringUp(configuration(false), append(workers, models...)); err != nil {
		return false, err
	}
	struck.began = time.Now()
	crashed := false
	for number := range 18 {
		mutex.Lock()
		last := min(answers[models[0].id], answers[models[1].id], answers[models[2].id]) >= spoiltInterval
		mutex.Unlock()
		for last && struck.phase() > strikeTime/10 {
			time.Sleep(10 * time.Millisecond)
		}
		// A trainer trains for a while, and names a version before each step.
		if number > 0 && !f.control(http.MethodPost, "/dillchute/version-put", map[string]any{"model": model, "version": number + 1}, 4*time.Second) {
			return false, errNotReady("a version was not noted")
		}
		groups := versionGroups
		if last {
			groups = lastGroups
		}
		s, body := newStep(number, groups, versionEvents)
		if !f.submit(s, body) {
			return false, errNotReady("a batch job was not taken")
		}
		for trouble && last && !crashed && time.Since(s.sentAt) < crashLimit {
			time.Sleep(10 * time.Millisecond)
			newer, older := atVersion(models, uint64(number+1), 0), atVersion(models, uint64(number), 1)
			if newer == nil || older == nil {
				continue
			}
			mutex.Lock()
			spoiler, crashed = newer, true
			mutex.Unlock()
			running, version := older.load()
			f.out.add("worker %s is lost for good; it runs %d items under version %d", older.id, running, version)
			older.crash()
		}
		f.read(s, groups)
		for _, item := range s.results {
			told := slices.Clone(item.Versions)
			slices.Sort(told)
			if truth := made.of(item.ID); item.State == "succeeded" && !slices.Equal(told, truth) {
				f.out.add("BROKEN: item %s of step %d is listed with the versions %v; its text was made by %v", item.ID, number, told, truth)
				broken = true
			}
		}
		f.end(s)
		if broken || last {
			break
		}
		time.Sleep(max(0, stepInterval-time.Since(s.sentAt)))
	}
	if trouble && !broken && spoilt == 0 {
		return false, errNotReady("no answer was spoilt")
	}
	return broken, nil
}

// atVersion returns a worker that holds the version and runs at least so many requests, or nil.
func atVersion(workers []*worker, wanted uint64, least int) *worker {
	for _, w := range workers {
		if running, version := w.load(); version == wanted && running >= least {
			return w
		}
	}
	return nil
}
