package runner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/transport"
)

const (
	// settleTime is how long a new leader waits for links before it has runs begin
	// by the runners that it has.
	maxSettleTime = 300 * time.Millisecond
	// settledShare is the share of the links that it waits for no longer.
	settledFraction = 0.9
)

// Pool is what the leader has of runners: a link to each. Its methods may be called
// from several goroutines.
type Pool struct {
	context context.Context
	client  *http.Client
	logger  *zerolog.Logger
	// begun is when the pool was made, and term that of the leadership.
	createdAt time.Time
	term      uint64
	// adopt takes over the runs that links bring back.
	adopt func(held []*OrphanedRun)

	// superseded is set once a runner has told of a later leader.
	superseded atomic.Bool

	mutex sync.Mutex
	links map[string]*Link
}

// NewPool returns a pool without links, for the leadership of the term. All links end with
// the context. The function is called with the runs that a new link brings back, by the
// link's goroutine, and accepts those that the leader goes on with; all others are ended.
func NewPool(ctx context.Context, term uint64, adopt func(held []*OrphanedRun), logger *zerolog.Logger) *Pool {
	return &Pool{
		context: ctx, logger: logger, createdAt: clock.Now(), term: term, adopt: adopt,
		client: &http.Client{Transport: transport.NewInternalTransport()}, links: map[string]*Link{},
	}
}

// Follow opens links to stores that are new, and ends those to stores that are gone
// or have another address.
func (p *Pool) SetStores(stores []Store) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wanted := make(map[string]bool, len(stores))
	for _, store := range stores {
		wanted[store.Name] = true
		existing := p.links[store.Name]
		if existing != nil && existing.address == store.Address {
			existing.store = store
			continue
		}
		if existing != nil {
			existing.cancel()
		}
		p.links[store.Name] = newLink(p, store)
	}
	for name, existing := range p.links {
		if !wanted[name] {
			existing.cancel()
			delete(p.links, name)
		}
	}
}

// For returns the link to the store that is to hold the streams of the engine's runs, or
// nil if none is open.
func (p *Pool) LinkFor(engine directory.Backend) *Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var best *Link
	for _, link := range p.links {
		if link.isOpen.Load() && (best == nil || link.store.preferredTo(best.store, engine.ID, engine.Zone)) {
			best = link
		}
	}
	return best
}

// Ready tells whether runs may begin: most links are open, or they were waited for long
// enough and there is one. A leader that a later one has taken links from begins no more.
func (p *Pool) Ready() bool {
	if p.superseded.Load() {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := p.openLinks()
	isSettled := float64(open) >= settledFraction*float64(len(p.links)) || clock.Since(p.createdAt) > maxSettleTime
	return open > 0 && isSettled
}

// Open returns the number of links that are open.
func (p *Pool) OpenLinks() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.openLinks()
}

func (p *Pool) openLinks() int {
	open := 0
	for _, link := range p.links {
		if link.isOpen.Load() {
			open++
		}
	}
	return open
}
