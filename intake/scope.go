package intake

import (
	"context"
	"sync"
)

// Scope collects the reservations of one request, which end together. It is safe for concurrent use.
type Scope struct {
	mutex        sync.Mutex
	released     bool
	reservations []Releaser
}

// Releaser is a reservation that ends. Release may be called repeatedly.
type Releaser interface{ Release() }

// scopeKey is the context key of a request's scope.
type scopeKey struct{}

// WithScope returns a context with the scope of a request.
func WithScope(ctx context.Context, scope *Scope) context.Context {
	return context.WithValue(ctx, scopeKey{}, scope)
}

// ScopeOf returns the scope of the request, or nil if there is none.
func ScopeOf(ctx context.Context) *Scope {
	scope, _ := ctx.Value(scopeKey{}).(*Scope)
	return scope
}

// Add adds a reservation, which must not be resized any more. If the scope has ended or is nil, the reservation ends at
// once.
func (s *Scope) Add(reservation Releaser) {
	if s == nil {
		reservation.Release()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		reservation.Release()
		return
	}
	s.reservations = append(s.reservations, reservation)
}

// Release ends the scope and all its reservations.
func (s *Scope) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, reservation := range s.reservations {
		reservation.Release()
	}
	s.released, s.reservations = true, nil
}
