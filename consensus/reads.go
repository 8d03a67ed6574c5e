package consensus

// Reads keeps reads that wait until a quorum has confirmed the leader and the
// state has caught up with what was committed when they began. T is what the
// caller needs to know to serve a read.
type Reads[T any] struct {
	contexts  uint64
	waiting   map[uint64]T
	confirmed []confirmedRead[T]
}

// confirmedRead may be served once the entry at the index is applied.
type confirmedRead[T any] struct {
	index uint64
	read  T
}

// NewReads returns Reads without any read.
func NewReads[T any]() *Reads[T] { return &Reads[T]{waiting: map[uint64]T{}} }

// Begin asks for a read's confirmation, and returns the context that stands for it.
func (r *Reads[T]) Begin(raft *Raft, read T) uint64 {
	r.contexts++
	r.waiting[r.contexts] = read
	raft.ReadIndex(r.contexts)
	return r.contexts
}

// Waits tells whether the read under the context is neither confirmed nor rejected.
func (r *Reads[T]) Waits(context uint64) bool {
	_, ok := r.waiting[context]
	return ok
}

// Rejected takes in the reads that cannot be confirmed, and returns them.
func (r *Reads[T]) Rejected(ready Ready) []T {
	var rejected []T
	for _, context := range ready.RejectedReads {
		if read, ok := r.waiting[context]; ok {
			rejected = append(rejected, read)
			delete(r.waiting, context)
		}
	}
	return rejected
}

// Confirmed takes in the reads that are confirmed, and returns those that may be
// served with a state that has applied all entries up to the index.
func (r *Reads[T]) Confirmed(ready Ready, applied uint64) []T {
	for _, state := range ready.ReadStates {
		if read, ok := r.waiting[state.Context]; ok {
			r.confirmed = append(r.confirmed, confirmedRead[T]{index: state.Index, read: read})
			delete(r.waiting, state.Context)
		}
	}
	var served []T
	kept := r.confirmed[:0]
	for _, confirmed := range r.confirmed {
		if confirmed.index > applied {
			kept = append(kept, confirmed)
			continue
		}
		served = append(served, confirmed.read)
	}
	r.confirmed = kept
	return served
}
