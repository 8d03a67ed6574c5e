package consensus

// ReadTracker tracks linearizable reads. A read may be served once a quorum has
// confirmed the leader and the state machine has applied the commit index at the
// time of confirmation. T is the caller's description of a read.
type ReadTracker[T any] struct {
	lastContext uint64
	pending     map[uint64]T
	confirmed   []confirmedRead[T]
}

// confirmedRead may be served once the entry at index is applied.
type confirmedRead[T any] struct {
	index uint64
	read  T
}

// NewReadTracker returns an empty ReadTracker.
func NewReadTracker[T any]() *ReadTracker[T] { return &ReadTracker[T]{pending: map[uint64]T{}} }

// Begin requests confirmation of a read and returns the read's context.
func (r *ReadTracker[T]) Begin(raft *Raft, read T) uint64 {
	r.lastContext++
	r.pending[r.lastContext] = read
	raft.ReadIndex(r.lastContext)
	return r.lastContext
}

// IsPending reports whether the read with the context is neither confirmed nor rejected.
func (r *ReadTracker[T]) IsPending(context uint64) bool {
	_, ok := r.pending[context]
	return ok
}

// TakeRejected removes and returns the reads that the Ready rejects.
func (r *ReadTracker[T]) TakeRejected(ready Ready) []T {
	var rejected []T
	for _, context := range ready.RejectedReads {
		if read, ok := r.pending[context]; ok {
			rejected = append(rejected, read)
			delete(r.pending, context)
		}
	}
	return rejected
}

// TakeServable records the reads that the Ready confirms, and removes and returns
// those that can be served from the state at the applied index.
func (r *ReadTracker[T]) TakeServable(ready Ready, applied uint64) []T {
	for _, state := range ready.ReadStates {
		if read, ok := r.pending[state.Context]; ok {
			r.confirmed = append(r.confirmed, confirmedRead[T]{index: state.Index, read: read})
			delete(r.pending, state.Context)
		}
	}
	var servable []T
	kept := r.confirmed[:0]
	for _, confirmed := range r.confirmed {
		if confirmed.index > applied {
			kept = append(kept, confirmed)
			continue
		}
		servable = append(servable, confirmed.read)
	}
	r.confirmed = kept
	return servable
}
