package usage

import (
	"maps"
	"slices"
	"sync"
)

const (
	// readingAge is how long, in milliseconds, a machine's clock counts after it was last read.
	readingAge = 5000
	// gatherTime is how long readings are gathered, in milliseconds, before the first of them
	// count: each machine tells its clock once a second, and the first to do so may be wrong.
	gatherTime = 1500
)

// reading tells by how much a machine's time of day was ahead of this process's steady
// time, both in milliseconds.
type reading struct {
	ahead int64
	at    int64
}

// Clock tells the true time from the clocks of several machines, of which fewer than half
// may be wrong at a time. It may be used concurrently.
type Clock struct {
	mutex    sync.Mutex
	readings map[string]reading
	// least is the number of machines that must have been read lately.
	least int
	// gatheredFrom is when the first reading came after a time without any.
	gatheredFrom int64
}

// NewClock returns a clock that has read no machine's, and goes by no fewer than the least
// number of them.
func NewClock(least int) *Clock { return &Clock{readings: map[string]reading{}, least: least} }

// Note takes in a machine's time of day, in milliseconds since 1970, that came at a time of
// this process's steady clock.
func (c *Clock) Note(machine string, timeOfDay, steady int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.forgetOld(steady)
	if len(c.readings) == 0 {
		c.gatheredFrom = steady
	}
	c.readings[machine] = reading{ahead: timeOfDay - steady, at: steady}
}

// forgetOld forgets the readings that count no more.
func (c *Clock) forgetOld(steady int64) {
	maps.DeleteFunc(c.readings, func(_ string, read reading) bool { return steady-read.at > readingAge })
}

// Ahead returns by how much the middle of the clocks is ahead of the steady time. It is
// false if too few have been read lately.
func (c *Clock) Ahead(steady int64) (int64, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.forgetOld(steady)
	if len(c.readings) < max(c.least, 1) || steady-c.gatheredFrom < gatherTime {
		return 0, false
	}
	var ahead []int64
	for _, read := range c.readings {
		ahead = append(ahead, read.ahead)
	}
	slices.Sort(ahead)
	middle := len(ahead) / 2
	if len(ahead)%2 == 1 {
		return ahead[middle], true
	}
	return (ahead[middle-1] + ahead[middle]) / 2, true
}
