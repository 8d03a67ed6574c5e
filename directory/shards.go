package directory

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount is the number of parts that a catalog's backends are kept in. A change copies the
// part that it concerns: of 10,000 backends some 80, 8 bytes each beside their IDs.
const shardCount = 128

// shardSeed spreads IDs over the parts; it need not be the same in two processes.
var shardSeed = maphash.MakeSeed()

// shards are backends by their IDs. They are immutable; with returns the next ones, which share
// with these whatever has not changed.
type backendShards struct {
	parts [shardCount]map[string]*Backend
	count int
}

func shardIndex(id string) int { return int(maphash.String(shardSeed, id) % shardCount) }

// get returns the backend of the ID, or nil. It must not be changed.
func (s *backendShards) get(id string) *Backend {
	if s == nil {
		return nil
	}
	return s.parts[shardIndex(id)][id]
}

// all returns the backends in any order.
func (s *backendShards) all() iter.Seq[*Backend] {
	return func(yield func(*Backend) bool) {
		if s == nil {
			return
		}
		for _, part := range s.parts {
			for _, backend := range part {
				if !yield(backend) {
					return
				}
			}
		}
	}
}

// with returns the backends after some were removed and then others put.
func (s *backendShards) with(put []Backend, removed []string) *backendShards {
	if len(put) == 0 && len(removed) == 0 && s != nil {
		return s
	}
	next := &backendShards{}
	if s != nil {
		*next = *s
	}
	var copied [shardCount]bool
	part := func(id string) map[string]*Backend {
		index := shardIndex(id)
		if !copied[index] {
			copied[index] = true
			next.parts[index] = maps.Clone(next.parts[index])
			if next.parts[index] == nil {
				next.parts[index] = map[string]*Backend{}
			}
		}
		return next.parts[index]
	}
	for _, id := range removed {
		delete(part(id), id)
	}
	for position := range put {
		// A copy keeps the delta's other objects from staying in memory with this one.
		backend := put[position]
		part(backend.ID)[backend.ID] = &backend
	}
	next.count = 0
	for _, part := range next.parts {
		next.count += len(part)
	}
	return next
}
