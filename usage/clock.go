package usage

import (
	"maps"
	"slices"
	"sync"
)

const (
	// maxReadingAge is how long a clock reading is used, in milliseconds.
	maxReadingAge = 5000
	// initialReadingPeriod is how long readings are collected before they are used, in
	// milliseconds. Each machine sends its clock once a second, and the first one may be wrong.
	initialReadingPeriod = 1500
)

// reading is the offset of a machine's time of day from this process's monotonic time, and the
// monotonic time of the reading, in milliseconds.
type reading struct {
	offset int64
	readAt int64
}

// Clock estimates the true time as the median of several machines' clocks, of which fewer than half may
// be wrong at a time. It is safe for concurrent use.
type Clock struct {
	mutex    sync.Mutex
	readings map[string]reading
	// minMachines is the number of machines that must have recent readings.
	minMachines int
	// firstReadAt is the time of the first reading after there were none.
	firstReadAt int64
}

// NewClock returns a clock without readings, which needs readings of at least minMachines machines.
func NewClock(minMachines int) *Clock {
	return &Clock{readings: map[string]reading{}, minMachines: minMachines}
}

// AddReading records a machine's time of day, in Unix milliseconds, received at this process's
// monotonic time.
func (c *Clock) AddReading(machine string, timeOfDay, monotonic int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeExpired(monotonic)
	if len(c.readings) == 0 {
		c.firstReadAt = monotonic
	}
	c.readings[machine] = reading{offset: timeOfDay - monotonic, readAt: monotonic}
}

// removeExpired removes readings older than maxReadingAge.
func (c *Clock) removeExpired(monotonic int64) {
	maps.DeleteFunc(c.readings, func(_ string, r reading) bool { return monotonic-r.readAt > maxReadingAge })
}

// Offset returns the median offset of the clocks from the monotonic time, and false if there are too
// few recent readings.
func (c *Clock) Offset(monotonic int64) (int64, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeExpired(monotonic)
	if len(c.readings) < max(c.minMachines, 1) || monotonic-c.firstReadAt < initialReadingPeriod {
		return 0, false
	}
	var offsets []int64
	for _, r := range c.readings {
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	if len(offsets)%2 == 1 {
		return offsets[middle], true
	}
	return (offsets[middle-1] + offsets[middle]) / 2, true
}
