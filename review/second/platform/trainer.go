//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The example of a deployment: the names that the configuration, the workers and the trainer use.
const (
	host          = "ficu95.example"
	rolloutPrefix = "/pule252/"
	rewardPrefix  = "/pufi791/"
	model         = "daka510000"
	modelService  = "huvo11a"
	plainService  = "wuno96b"
	rewardTries   = 4
	itemTries     = 3
	groupSize     = 4
	// promptTokens and eventTokens are the sizes of a prompt and of an event.
	promptTokens, eventTokens = 271, 45
	// deadline is how long the trainer waits for a step.
	deadline = 12 * time.Second
)

// configuration returns the operator's configuration. Its rollout route allows one version a result if singleVersion is set.
func configuration(singleVersion bool) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "reward", "host": host, "path-prefix": rewardPrefix, "kind": "safe", "timeout-ms": 1500, "target-ms": 150, "priority": 2,
				"service": plainService, "max-attempts": rewardTries},
			{"name": "rollout", "host": host, "path-prefix": rolloutPrefix, "kind": "rollout", "timeout-ms": 10000, "target-ms": 400, "priority": 1,
				"service": modelService, "max-attempts": itemTries, "resumable": true, "single-version": singleVersion, "due-ms": 7500, "max-wait-s": 12},
		},
		"services": []map[string]any{
			{"name": modelService, "health-path": "/health", "max-conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 8, "kv-capacity-tokens": 103490, "kv-token-bytes": 18432, "link-mbps": 2900000.0, "backups": true, "stride": 45,
				"most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}}}},
			{"name": plainService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// result is one entry of a page of results.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
	// Versions are those that the system says made the text.
	Versions []uint64 `json:"versions"`
}

// step is one batch job of the trainer.
type step struct {
	number  int
	id      string
	items   []string
	rewards map[string]string
	sentAt  time.Time
	results []result
	ended   bool
}

// identifier returns an ID of 16 hexadecimal digits.
func identifier(kind, number, item int) string {
	return fmt.Sprintf("%02x%06x%08x", kind, number, item+1)
}

func newStep(number, groups, events int) (*step, map[string]any) {
	s := &step{number: number, id: identifier(1, number, 0), rewards: map[string]string{}}
	var items []map[string]any
	for position := range groups * groupSize {
		id, reward := identifier(2, number, position), identifier(3, number, position)
		s.items, s.rewards[id] = append(s.items, id), reward
		items = append(items, map[string]any{
			"id": id, "path": rolloutPrefix + "3/" + id[12:], "body": base64.StdEncoding.EncodeToString([]byte("prompt " + id)),
			"headers": map[string]string{"Model": model, "Token-Count": fmt.Sprintf("%d,%d", promptTokens, events*eventTokens), "Prompt-Prefix": fmt.Sprintf("9c2e%02x:255,%s:16", position/groupSize, id)},
			"tokens":  promptTokens + events*eventTokens, "group": fmt.Sprintf("g%d-%d", number, position/groupSize),
			"scorer": map[string]string{"id": reward, "host": host, "path": rewardPrefix + reward[12:], "body": base64.StdEncoding.EncodeToString([]byte("score " + id))},
		})
	}
	return s, map[string]any{
		"step": number, "model": model, "min-version": max(number, 1), "desired": groups * 9 / 10, "items": items,
	}
}

// submit sends the batch job to one node after the other until it is taken.
func (f *fleet) submit(s *step, body map[string]any) bool {
	s.sentAt = time.Now()
	for number := s.number; time.Since(s.sentAt) < deadline; number++ {
		status, _ := f.call(http.MethodPost, f.front(number)+rolloutPrefix+s.id, host, map[string]string{"Request-Id": s.id}, body)
		f.out.add("batch job %s (step %d, %d items) sent to front %d: %d", s.id, s.number, len(s.items), number%machinesPerRole, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads the results until the wanted number of whole groups is there or the deadline has passed.
func (f *fleet) read(s *step, wantedGroups int) {
	for node := s.number; time.Since(s.sentAt) < deadline; node++ {
		status, data := f.call(http.MethodGet, fmt.Sprintf("%s/dillchute/lots/%s?after-rev=%d", f.front(node), s.id, len(s.results)), host,
			map[string]string{"Wait-Ms": "1000"}, nil)
		var page struct {
			Results []result `json:"results"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &page) == nil {
			for _, item := range page.Results {
				f.out.add("step %d: position %d holds item %s, %s, score %q", s.number, len(s.results), item.ID, item.State, item.Score)
				s.results = append(s.results, item)
			}
		}
		if s.wholeGroups() >= wantedGroups {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (s *step) wholeGroups() int {
	counts, whole := map[int]int{}, 0
	for _, item := range s.results {
		var position int
		fmt.Sscanf(item.ID[8:], "%x", &position)
		group := (position - 1) / groupSize
		if counts[group]++; counts[group] == groupSize {
			whole++
		}
	}
	return whole
}

func (f *fleet) end(s *step) {
	for node := 0; node < 20; node++ {
		status, _ := f.call(http.MethodDelete, f.front(node)+"/dillchute/lots/"+s.id, host, nil, nil)
		if status == http.StatusOK {
			f.out.add("step %d is ended", s.number)
			s.ended = true
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// The trouble of a worker comes in strikes: each lasts as long as one entry of a day does by default.
const (
	strikeTime  = 5 * time.Second
	strikePause = 1500 * time.Millisecond
)

// strikes tells when strikes are on, from the time at which the first begins.
type strikes struct{ began time.Time }

// phase returns the time since the latest strike began.
func (s *strikes) phase() time.Duration { return time.Since(s.began) % (strikeTime + strikePause) }

func (s *strikes) on() bool { return !s.began.IsZero() && s.phase() < strikeTime }
