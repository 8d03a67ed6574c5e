package server

import (
	"context"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// rewardSlotFraction is the fraction of a service's slots available to reward calls. These are sent in bursts
// when the samples of a step end. Without a limit they would delay callers' requests or cause refusals, and
// a lower limit would delay steps when few backends are left. docs/design/shifted-desk.md compares the limits.
const rewardSlotFraction = 5.0 / 6

// rewardLimiter limits the concurrent reward calls on each route. Waiting calls are admitted in the order
// of arrival. It is safe for concurrent use.
type rewardLimiter struct {
	mutex  sync.Mutex
	routes map[string]*routeLimiter
}

// routeLimiter counts the active calls on a route and queues the waiting ones.
type routeLimiter struct {
	active, limit int
	waiting       []chan struct{}
}

func newRewardLimiter() *rewardLimiter { return &rewardLimiter{routes: map[string]*routeLimiter{}} }

// maxRewardCalls returns the maximum number of concurrent reward calls on the route.
func maxRewardCalls(catalog *directory.Catalog, route routing.Route) int {
	slots := 0
	for _, share := range route.Shares {
		for _, backend := range catalog.Backends(share.Service) {
			if share.Weight > 0 && !backend.Draining && !backend.Silent {
				slots += backend.Slots
			}
		}
	}
	return max(int(rewardSlotFraction*float64(slots)), 1)
}

// acquire waits until another call is allowed on the route under the current limit. It returns false if the
// context ends first; otherwise release must be called.
func (l *rewardLimiter) acquire(ctx context.Context, route string, limit int) bool {
	l.mutex.Lock()
	limiter := l.routes[route]
	if limiter == nil {
		limiter = &routeLimiter{}
		l.routes[route] = limiter
	}
	limiter.limit = limit
	if limiter.active < limit && len(limiter.waiting) == 0 {
		limiter.active++
		l.mutex.Unlock()
		return true
	}
	admitted := make(chan struct{})
	limiter.waiting = append(limiter.waiting, admitted)
	limiter.admit()
	l.mutex.Unlock()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
		l.cancelWait(limiter, admitted)
		return false
	}
}

// cancelWait removes a waiting call, or releases it if it was admitted in the meantime.
func (l *rewardLimiter) cancelWait(limiter *routeLimiter, admitted chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	position := slices.Index(limiter.waiting, admitted)
	if position >= 0 {
		limiter.waiting = slices.Delete(limiter.waiting, position, position+1)
		return
	}
	limiter.active--
	limiter.admit()
}

// release ends a call that acquire has admitted.
func (l *rewardLimiter) release(route string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limiter := l.routes[route]
	limiter.active--
	limiter.admit()
}

// counts returns the number of active and of waiting calls, by route.
func (l *rewardLimiter) counts() map[string]rewardCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(map[string]rewardCounts, len(l.routes))
	for route, limiter := range l.routes {
		counts[route] = rewardCounts{active: limiter.active, waiting: len(limiter.waiting)}
	}
	return counts
}

// rewardCounts are the active and the waiting reward calls on a route.
type rewardCounts struct{ active, waiting int }

// admit admits waiting calls up to the limit. The limiter's mutex must be held.
func (r *routeLimiter) admit() {
	for r.active < r.limit && len(r.waiting) > 0 {
		r.active++
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
	}
}

// collectRewards emits the numbers of active and waiting reward calls on the leader.
func (x *Executor) collectRewards(emit chan<- prometheus.Metric) {
	limiter := x.rewards.Load()
	if limiter == nil {
		return
	}
	for route, counts := range limiter.counts() {
		const name, help = "ledger_reward_calls", "On a leader, reward calls that have a place and those that wait for one, by route."
		gauge(emit, name, help, float64(counts.active), "route", route, "state", "active")
		gauge(emit, name, help, float64(counts.waiting), "route", route, "state", "waiting")
	}
}
