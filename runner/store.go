package runner

import "github.com/dillchute/dillchute/internal/rendezvous"

// Store is a process that can act as a runner.
type Store struct {
	Name    string
	Address string
	Zone    string
	// Member is set if the store has a replica of the ledger, Leader if it leads. The leader is chosen
	// only if there is no other store.
	Member, Leader bool
}

// preferredTo reports whether the store is a better runner for the engine than the other one. Stores in
// the engine's zone come first, to avoid traffic between zones, then stores without a replica. Rendezvous
// hashing decides among equals, so that all leaders choose alike and connections to engines are reused.
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
