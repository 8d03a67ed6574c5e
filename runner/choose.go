package runner

import "github.com/dillchute/dillchute/internal/rendezvous"

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
	if isNear, isOtherNear := s.Zone == zone, other.Zone == zone; isNear != isOtherNear {
		return isNear
	}
	if s.Member != other.Member {
		return !s.Member
	}
	return rendezvous.Score(engine, s.Name) > rendezvous.Score(engine, other.Name)
}
