package server

import (
	"context"
	"slices"
	"sync"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// rewardShare is the part of a service's slots that reward calls may take at a time. They
// come in bursts, when the samples of a step end, and callers' requests that meet a service
// without a free slot are late or refused. Less would make steps late where few backends
// are left: docs/design/shifted-desk.md has both ways and the one without a limit.
const rewardShare = 5.0 / 6

// rewardLimit bounds the reward calls under way, for each route, and lets those that wait in
// in the order in which they came. It may be used concurrently.
type rewardLimit struct {
	mutex  sync.Mutex
	routes map[string]*limitedRoute
}

// limitedRoute holds the calls under way on a route, and those that wait.
type limitedRoute struct {
	underWay, most int
	waiting        []chan struct{}
}

func newRewardLimit() *rewardLimit { return &rewardLimit{routes: map[string]*limitedRoute{}} }

// mostRewards returns how many reward calls may be under way on the route.
func mostRewards(catalog *directory.Catalog, route routing.Route) int {
	slots := 0
	for _, share := range route.Shares {
		for _, backend := range catalog.Backends(share.Service) {
			if share.Weight > 0 && !backend.Draining && !backend.Silent {
				slots += backend.Slots
			}
		}
	}
	return max(int(rewardShare*float64(slots)), 1)
}

// enter waits until one more call may be under way on the route, of the most that are
// allowed now. It returns false if the context ends first; otherwise leave must follow.
func (l *rewardLimit) enter(ctx context.Context, route string, most int) bool {
	l.mutex.Lock()
	limited := l.routes[route]
	if limited == nil {
		limited = &limitedRoute{}
		l.routes[route] = limited
	}
	limited.most = most
	if limited.underWay < most && len(limited.waiting) == 0 {
		limited.underWay++
		l.mutex.Unlock()
		return true
	}
	turn := make(chan struct{})
	limited.waiting = append(limited.waiting, turn)
	limited.admit()
	l.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		l.giveUp(limited, turn)
		return false
	}
}

// giveUp takes back a call that waits, or that was let in just now.
func (l *rewardLimit) giveUp(limited *limitedRoute, turn chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	position := slices.Index(limited.waiting, turn)
	if position >= 0 {
		limited.waiting = slices.Delete(limited.waiting, position, position+1)
		return
	}
	limited.underWay--
	limited.admit()
}

// leave ends a call that was let in.
func (l *rewardLimit) leave(route string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limited := l.routes[route]
	limited.underWay--
	limited.admit()
}

// admit lets in whoever may go. The mutex must be held.
func (r *limitedRoute) admit() {
	for r.underWay < r.most && len(r.waiting) > 0 {
		r.underWay++
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
	}
}
