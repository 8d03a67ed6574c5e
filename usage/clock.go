package usage

import (
	"slices"
	"sync"
)

// readingAge is how long, in milliseconds, another machine's clock counts after it was
// last read.
const readingAge = 5000

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
}

// NewClock returns a clock that has read no machine's.
func NewClock() *Clock { return &Clock{readings: map[string]reading{}} }

// Note takes in a machine's time of day, in milliseconds since 1970, that came at a time of
// this process's steady clock.
func (c *Clock) Note(machine string, timeOfDay, steady int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readings[machine] = reading{ahead: timeOfDay - steady, at: steady}
}

// Ahead returns by how much the middle of the clocks is ahead of the steady time. It is
// false if none has been read lately.
func (c *Clock) Ahead(steady int64) (int64, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ahead []int64
	for machine, read := range c.readings {
		if steady-read.at > readingAge {
			delete(c.readings, machine)
			continue
		}
		ahead = append(ahead, read.ahead)
	}
	if len(ahead) == 0 {
		return 0, false
	}
	slices.Sort(ahead)
	middle := len(ahead) / 2
	if len(ahead)%2 == 1 {
		return ahead[middle], true
	}
	return (ahead[middle-1] + ahead[middle]) / 2, true
}
