package eventloop

import (
	"context"
	"sync"
)

// Mailbox passes items from a loop to another goroutine without blocking the loop. It has no size limit.
type Mailbox[T any] struct {
	mutex  sync.Mutex
	items  []T
	signal chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox[T any]() *Mailbox[T] {
	return &Mailbox[T]{signal: make(chan struct{}, 1)}
}

// Put adds an item.
func (m *Mailbox[T]) Put(item T) {
	m.mutex.Lock()
	m.items = append(m.items, item)
	m.mutex.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// Take waits for items and returns all of them. It returns false if the context ends first.
func (m *Mailbox[T]) Take(ctx context.Context) ([]T, bool) {
	select {
	case <-m.signal:
	case <-ctx.Done():
		return nil, false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	items := m.items
	m.items = nil
	return items, true
}
