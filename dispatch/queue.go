// Package dispatch decides which request a node runs next. It provides a priority queue with ageing, a
// retry budget and a filter for duplicate IDs. All types are deterministic and read no clock.
package dispatch

import "container/heap"

// AgeingMillis is the waiting time after which a request ranks equal to a new request of the next
// higher priority.
const AgeingMillis = 2000

// Item is a request in a Queue.
type Item struct {
	ID       uint64
	Priority uint8
	// EnqueuedAt is in milliseconds. It is kept when an item is put back.
	EnqueuedAt int64
	Tokens     int
}

// rank returns the sort key. All items age at the same rate, so their order does not change over time.
func (i Item) rank() int64 { return i.EnqueuedAt - int64(i.Priority)*AgeingMillis }

// Queue is a priority queue of items. The zero value is an empty queue.
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

// Pop removes and returns the first item. The queue must not be empty.
func (q *Queue) Pop() Item {
	item := heap.Pop(&q.items).(Item)
	q.tokens -= item.Tokens
	return item
}

// Remove removes the item with the ID and reports whether there was one.
func (q *Queue) Remove(id uint64) bool {
	for index := range q.items {
		if q.items[index].ID == id {
			q.tokens -= q.items[index].Tokens
			heap.Remove(&q.items, index)
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
	lastIndex := len(*h) - 1
	item := (*h)[lastIndex]
	*h = (*h)[:lastIndex]
	return item
}
