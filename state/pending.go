package state

import "container/heap"

// pendingQueue orders the pending samples of a pool: by step, because the trainer
// waits for the earliest, then the longest first, because they take longest to
// finish, then by index.
type pendingQueue struct {
	items pendingHeap
}

type pendingItem struct {
	key       SampleKey
	maxTokens uint32
}

func (q *pendingQueue) len() int { return len(q.items) }

func (q *pendingQueue) push(key SampleKey, maxTokens uint32) {
	heap.Push(&q.items, pendingItem{key: key, maxTokens: maxTokens})
}

func (q *pendingQueue) pop() SampleKey {
	return heap.Pop(&q.items).(pendingItem).key
}

type pendingHeap []pendingItem

func (h pendingHeap) Len() int      { return len(h) }
func (h pendingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h pendingHeap) Less(i, j int) bool {
	if h[i].key.Step != h[j].key.Step {
		return h[i].key.Step < h[j].key.Step
	}
	if h[i].maxTokens != h[j].maxTokens {
		return h[i].maxTokens > h[j].maxTokens
	}
	return h[i].key.Index < h[j].key.Index
}

func (h *pendingHeap) Push(item any) { *h = append(*h, item.(pendingItem)) }

func (h *pendingHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}
