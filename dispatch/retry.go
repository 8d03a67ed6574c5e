package dispatch

// maxRetryCredit bounds the retries that a quiet time may save up.
const maxRetryCredit = 10

// RetryBudget allows retries as a share of first attempts, so that the loss of
// many engines does not multiply the load on those that are left. The zero
// value allows none until first attempts have been counted.
type RetryBudget struct {
	// hundredths of a retry.
	credit int
}

// First counts a first attempt, which earns percent hundredths of a retry.
func (b *RetryBudget) First(percent int) {
	b.credit = min(b.credit+percent, maxRetryCredit*100)
}

// Take uses up one retry and tells whether there was one.
func (b *RetryBudget) Take() bool {
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// seenWindow is the number of identities below the highest that are remembered.
const seenWindow = 4096

// Seen recognises repeated identities of one sender, which counts them upwards.
// Identities below the window count as repeated, so that none is ever taken
// twice, however late a copy arrives.
type Seen struct {
	highest uint64
	recent  map[uint64]bool
}

// Add records the identity and tells whether it is new.
func (s *Seen) Add(id uint64) bool {
	if s.recent == nil {
		s.recent = map[uint64]bool{}
	}
	if s.recent[id] || id+seenWindow <= s.highest {
		return false
	}
	s.recent[id] = true
	if id > s.highest {
		s.forget(id)
	}
	return true
}

func (s *Seen) forget(highest uint64) {
	s.highest = highest
	if len(s.recent) <= 2*seenWindow {
		return
	}
	for id := range s.recent {
		if id+seenWindow <= highest {
			delete(s.recent, id)
		}
	}
}
