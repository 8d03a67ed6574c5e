// Package clock tells elapsed time with the machine's suspensions in it.
//
// Go's steady clock stands still while a machine is suspended, so a lease, a confirmation or a
// limit that is measured by it looks fresh to a process that wakes long after it ran out. Times
// of this package go on: they are read from the clock that counts suspensions, and neither a
// step of the time of day nor a pause takes them back.
//
// Whatever guards a promise takes its time from here. What only paces work may use package
// time, whose timers stand still with the machine.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads a machine's clocks.
type Source interface {
	// Read returns the steady clock's reading, which stands still while the machine is
	// suspended, and the time of day since 1970, which may be stepped.
	Read() (steady, timeOfDay time.Duration)
	// Boot returns the time since the machine's start, with suspensions in it. It fails where
	// the machine has no such clock.
	Boot() (time.Duration, error)
}

// machine reads this machine's clocks.
type machine struct{}

// started is the origin of the steady clock's readings.
var started = time.Now()

// Read implements Source. Both come with one reading, which costs no system call.
func (machine) Read() (steady, timeOfDay time.Duration) {
	now := time.Now()
	return now.Sub(started), time.Duration(now.UnixNano())
}

// Boot implements Source. It costs a system call.
func (machine) Boot() (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return 0, err
	}
	return time.Duration(read.Nano()), nil
}

const (
	// shiftLimit is how far the time of day may move against the steady clock before the clock
	// of suspensions is read again: both are there with one cheap reading, and a suspension
	// moves the first and not the second. Slewing takes seconds to get as far.
	shiftLimit = 2 * time.Millisecond
	// readInterval is the longest time between two readings of the clock of suspensions, for a
	// suspension that a step of the time of day hides.
	readInterval = 100 * time.Millisecond
)

// Clock tells elapsed time with suspensions in it. It may be used concurrently.
type Clock struct {
	source Source
	// origin, steady and boot are the first readings: of the time of day, the steady clock, and
	// the one of suspensions, where the machine has one.
	origin       time.Time
	steady, boot time.Duration
	// hasBoot tells whether it has. Without one each step of the time of day ahead counts as a
	// suspension: leases then run out early, never late.
	hasBoot bool

	// suspended is how long the machine has been suspended since the clock began, in
	// nanoseconds; it never falls. shift is by how much the time of day was ahead of the steady
	// clock at the newest reading, and readAt when that was, by the steady clock.
	suspended, shift, readAt atomic.Int64
	// highest is the highest time told so far.
	highest atomic.Int64
	reading sync.Mutex
}

// New returns a clock of the source.
func New(source Source) *Clock {
	steady, timeOfDay := source.Read()
	boot, err := source.Boot()
	c := &Clock{source: source, origin: time.Unix(0, int64(timeOfDay)), steady: steady, boot: boot, hasBoot: err == nil}
	c.shift.Store(int64(timeOfDay - steady))
	c.readAt.Store(int64(steady))
	return c
}

// HasBoot tells whether the machine has a clock that counts suspensions.
func (c *Clock) HasBoot() bool { return c.hasBoot }

// Now returns the time. It has no reading of the steady clock, so that differences of two
// times have suspensions in them; against times of package time it may be off by steps of the
// time of day.
func (c *Clock) Now() time.Time { return c.origin.Add(c.elapsed()) }

// Since returns the time since an earlier one of this clock.
func (c *Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

// Until returns the time until a later one of this clock.
func (c *Clock) Until(later time.Time) time.Duration { return later.Sub(c.Now()) }

// elapsed returns the time since the clock began. It never goes back.
func (c *Clock) elapsed() time.Duration {
	steady, timeOfDay := c.source.Read()
	moved := timeOfDay - steady - time.Duration(c.shift.Load())
	if moved > shiftLimit || moved < -shiftLimit || steady-time.Duration(c.readAt.Load()) > readInterval {
		c.read()
	}
	return time.Duration(raise(&c.highest, int64(steady-c.steady)+c.suspended.Load()))
}

// read finds out how long the machine has been suspended.
func (c *Clock) read() {
	c.reading.Lock()
	defer c.reading.Unlock()
	boot, err := c.source.Boot()
	// The steady clock is read after that of suspensions: the difference is too small by what
	// lies between, and never too large.
	steady, timeOfDay := c.source.Read()
	moved := timeOfDay - steady - time.Duration(c.shift.Load())
	c.shift.Store(int64(timeOfDay - steady))
	c.readAt.Store(int64(steady))
	if !c.hasBoot || err != nil {
		// The time of day is all that is left.
		c.suspended.Add(int64(max(moved, 0)))
		return
	}
	raise(&c.suspended, int64(boot-c.boot-(steady-c.steady)))
}

// raise sets the value to at least the other and returns it.
func raise(value *atomic.Int64, least int64) int64 {
	for {
		known := value.Load()
		if known >= least {
			return known
		}
		if value.CompareAndSwap(known, least) {
			return least
		}
	}
}

// process is the clock of this process.
var process atomic.Pointer[Clock]

func init() { process.Store(New(machine{})) }

// Use has the process go by another source, and returns a function that goes back to the one
// before. It is for tests, before anything has read the clock that must not jump.
func Use(source Source) (restore func()) {
	before := process.Swap(New(source))
	return func() { process.Store(before) }
}

// HasBoot tells whether this machine has a clock that counts suspensions.
func HasBoot() bool { return process.Load().HasBoot() }

// Now returns the time of this process's clock.
func Now() time.Time { return process.Load().Now() }

// Since returns the time since an earlier one of this process's clock.
func Since(earlier time.Time) time.Duration { return process.Load().Since(earlier) }

// Until returns the time until a later one of this process's clock.
func Until(later time.Time) time.Duration { return process.Load().Until(later) }
