package intake

import "sync"

// Scope collects the reservations of one request, which end together. It is safe for concurrent use.
type Scope struct {
	mutex        sync.Mutex
	released     bool
	reservations []*Reservation
}

// Add adds a reservation, which must not be resized any more. If the scope has ended, the reservation ends at once.
func (s *Scope) Add(reservation *Reservation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		reservation.Release()
		return
	}
	s.reservations = append(s.reservations, reservation)
}

// Release ends the scope and all its reservations.
func (s *Scope) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, reservation := range s.reservations {
		reservation.Release()
	}
	s.released, s.reservations = true, nil
}
