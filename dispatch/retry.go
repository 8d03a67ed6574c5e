package dispatch

// maxRetryCredit bounds the retries that can be saved up.
const maxRetryCredit = 10

// RetryBudget limits retries to a share of first attempts, so that the loss of many engines does not
// multiply the load on the remaining ones. The zero value allows none until first attempts are recorded.
type RetryBudget struct {
	// credit is in hundredths of a retry.
	credit int
}

// RecordFirstAttempt adds the percentage of a retry that a first attempt earns.
func (b *RetryBudget) RecordFirstAttempt(percent int) {
	b.credit = min(b.credit+percent, maxRetryCredit*100)
}

// TakeRetry consumes one retry and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// duplicateWindow is the range of IDs below the highest one that are stored.
const duplicateWindow = 4096

// DuplicateFilter detects repeated IDs of one sender, which assigns them in ascending order. IDs below
// the window are treated as duplicates, so that none is ever accepted twice.
type DuplicateFilter struct {
	highest uint64
	recent  map[uint64]bool
}

// Add records the ID and reports whether it is new.
func (s *DuplicateFilter) Add(id uint64) bool {
	if s.recent == nil {
		s.recent = map[uint64]bool{}
	}
	if s.recent[id] || id+duplicateWindow <= s.highest {
		return false
	}
	s.recent[id] = true
	if id > s.highest {
		s.advance(id)
	}
	return true
}

func (s *DuplicateFilter) advance(highest uint64) {
	s.highest = highest
	if len(s.recent) <= 2*duplicateWindow {
		return
	}
	for id := range s.recent {
		if id+duplicateWindow <= highest {
			delete(s.recent, id)
		}
	}
}
