package runner

import (
	"hash/fnv"
	"io"
)

// Store is a process that can hold the streams of runs.
type Store struct {
	Name    string
	Address string
	Zone    string
	// Member is set on stores that keep a replica of the ledger, and Leader on the one
	// that leads: it holds streams only for lack of others.
	Member, Leader bool
}

// preferredTo tells whether the store is a better runner than the other one for an
// engine. Streams stay in the engine's zone, since bytes between zones are dear;
// replicas of the ledger have work of their own; and the rest is left to the names,
// so that each leader chooses alike and connections to engines are used again.
func (s Store) preferredTo(other Store, engine, zone string) bool {
	if s.Leader != other.Leader {
		return !s.Leader
	}
	if near, otherNear := s.Zone == zone, other.Zone == zone; near != otherNear {
		return near
	}
	if s.Member != other.Member {
		return !s.Member
	}
	return rank(engine, s.Name) > rank(engine, other.Name)
}

// rank spreads engines over stores: each engine prefers the store with its highest
// rank, so that one store more or less changes few choices.
func rank(engine, store string) uint64 {
	hash := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(hash, engine)
	_, _ = io.WriteString(hash, "/")
	_, _ = io.WriteString(hash, store)
	// The sum of names that differ in their ends alone differs in few bits: mix it
	// (the finaliser of MurmurHash3).
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
