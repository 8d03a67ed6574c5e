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
	// maxSettleTime is how long a new leader waits for links before it starts runs on the open ones.
	maxSettleTime = 300 * time.Millisecond
	// settledFraction is the fraction of open links at which the leader stops waiting.
	settledFraction = 0.9
)

// Pool holds the leader's links to all runners. It is safe for concurrent use.
type Pool struct {
	context   context.Context
	client    *http.Client
	logger    *zerolog.Logger
	createdAt time.Time
	term      uint64
	// adopt accepts orphaned runs that the leader continues.
	adopt func(orphans []*OrphanedRun)

	// superseded is set once a runner has reported a later leader.
	superseded atomic.Bool

	mutex sync.Mutex
	links map[string]*Link
}

// NewPool returns a pool without links for the leader of the term. The context ends all links. Each new
// link calls adopt from its goroutine with the orphaned runs of its runner. Runs that adopt does not
// accept are cancelled.
func NewPool(ctx context.Context, term uint64, adopt func(orphans []*OrphanedRun), logger *zerolog.Logger) *Pool {
	return &Pool{
		context: ctx, logger: logger, createdAt: clock.Now(), term: term, adopt: adopt,
		client: &http.Client{Transport: transport.NewInternalTransport()}, links: map[string]*Link{},
	}
}

// SetStores opens links to new stores, closes those to removed stores and replaces those to stores whose
// address changed.
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

// LinkFor returns the open link to the preferred runner for the engine, or nil if no link is open.
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

// Ready reports whether runs may be started: most links are open, or at least one is after maxSettleTime.
// It returns false once a later leader is known.
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

// OpenLinks returns the number of open links.
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
