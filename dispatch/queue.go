// Package dispatch holds the parts of a node that decide what runs next: a
// bounded queue ordered by priority with ageing, the retry budget, and the
// record of identities seen. All are deterministic values without a clock.
package dispatch

import "container/heap"

// AgeingMillis is how long a request waits until it ranks with requests of the
// next higher priority that arrive then.
const AgeingMillis = 2000

// Item is a request in a Queue.
type Item struct {
	ID       uint64
	Priority uint8
	// EnqueuedAt is in milliseconds; an item that is put back keeps its own.
	EnqueuedAt int64
	Tokens     int
}

// rank orders items. All items age at the same rate, so their order does not
// change while they wait, and the rank can stand in for the current priority.
func (i Item) rank() int64 { return i.EnqueuedAt - int64(i.Priority)*AgeingMillis }

// Queue is a priority queue. The zero value is an empty queue.
type Queue struct {
	items  itemHeap
	tokens int
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Tokens returns the sum of the items' tokens.
func (q *Queue) Tokens() int { return q.tokens }

// Push adds an item.
func (q *Queue) Push(item Item) {
	heap.Push(&q.items, item)
	q.tokens += item.Tokens
}

// Peek returns the first item, and false if the queue is empty.
func (q *Queue) Peek() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.items[0], true
}

// Pop removes and returns the first item of a queue that is not empty.
func (q *Queue) Pop() Item {
	item := heap.Pop(&q.items).(Item)
	q.tokens -= item.Tokens
	return item
}

// Remove takes out the item with the ID and tells whether there was one.
func (q *Queue) Remove(id uint64) bool {
	for position := range q.items {
		if q.items[position].ID == id {
			q.tokens -= q.items[position].Tokens
			heap.Remove(&q.items, position)
			return true
		}
	}
	return false
}

type itemHeap []Item

func (h itemHeap) Len() int      { return len(h) }
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h itemHeap) Less(i, j int) bool {
	if h[i].rank() != h[j].rank() {
		return h[i].rank() < h[j].rank()
	}
	return h[i].ID < h[j].ID
}

func (h *itemHeap) Push(item any) { *h = append(*h, item.(Item)) }

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}
