package dispatch

// maxRetryCredit bounds the retries that can be saved up.
const maxRetryCredit = 10

// RetryBudget limits retries to a share of first attempts, so that the loss of many engines does not
// multiply the load on the remaining ones. The zero value allows none until first attempts are recorded.
type RetryBudget struct {
	// credit is in hundredths of a retry.
	credit int
}

// RecordFirstAttempt records a first attempt, which earns percent hundredths of a retry.
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

// duplicateWindow is the number of IDs up to the highest one that are tracked.
const duplicateWindow = 4096

// DuplicateFilter detects repeated IDs of one sender, which assigns them in ascending order. IDs below
// the window are treated as duplicates, so that none is ever accepted twice.
type DuplicateFilter struct {
	highest uint64
	recent  map[uint64]bool
}

// Add records the ID and reports whether it is new.
func (f *DuplicateFilter) Add(id uint64) bool {
	if f.recent == nil {
		f.recent = map[uint64]bool{}
	}
	if f.recent[id] || id+duplicateWindow <= f.highest {
		return false
	}
	f.recent[id] = true
	if id > f.highest {
		f.advance(id)
	}
	return true
}

func (f *DuplicateFilter) advance(highest uint64) {
	f.highest = highest
	if len(f.recent) <= 2*duplicateWindow {
		return
	}
	for id := range f.recent {
		if id+duplicateWindow <= highest {
			delete(f.recent, id)
		}
	}
}
