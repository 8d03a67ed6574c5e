// Package clock measures elapsed time including machine suspensions.
//
// Go's monotonic clock stops while the machine is suspended, so a lease measured by it still looks
// valid to a process that resumes long after the lease expired. This package uses CLOCK_BOOTTIME,
// which counts suspensions and is not affected by wall clock steps.
//
// Code whose correctness depends on elapsed time must use this package. Timers that only pace work may
// use package time.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads a machine's clocks.
type Source interface {
	// Read returns the monotonic time, which stops while the machine is suspended, and the wall clock
	// time since 1970, which may be stepped.
	Read() (monotonic, wall time.Duration)
	// BootTime returns the time since boot including suspensions, or an error if the machine has no
	// such clock.
	BootTime() (time.Duration, error)
}

// systemSource reads the clocks of this machine.
type systemSource struct{}

// processStart is the origin of the monotonic time.
var processStart = time.Now()

// Read implements Source. One call of time.Now reads both clocks without a system call.
func (systemSource) Read() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(processStart), time.Duration(now.UnixNano())
}

// BootTime implements Source. It makes a system call.
func (systemSource) BootTime() (time.Duration, error) {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		return 0, err
	}
	return time.Duration(timespec.Nano()), nil
}

const (
	// wallOffsetTolerance is how far the wall clock may shift against the monotonic clock before the
	// boot time is read again. A suspension shifts it, and reading both is cheap. Slewing takes
	// seconds to reach the tolerance.
	wallOffsetTolerance = 2 * time.Millisecond
	// bootTimeInterval is the longest time between two readings of the boot time. It bounds how long a
	// wall clock step can hide a suspension.
	bootTimeInterval = 100 * time.Millisecond
)

// Clock measures elapsed time including suspensions. It may be used concurrently.
type Clock struct {
	source Source
	// The readings when the clock was created. startBootTime is set only if hasBootTime is.
	origin                        time.Time
	startMonotonic, startBootTime time.Duration
	// hasBootTime is set if the machine has a boot-time clock. Without one, forward steps of the wall
	// clock count as suspensions, so that leases expire early rather than late.
	hasBootTime bool

	// suspended is the total suspension since the clock was created, in nanoseconds; it never
	// decreases. wallOffset is how far the wall clock was ahead of the monotonic clock at the last
	// reading, and readAt the monotonic time of that reading.
	suspended, wallOffset, readAt atomic.Int64
	// latest is the latest elapsed time returned so far.
	latest    atomic.Int64
	readMutex sync.Mutex
}

// New returns a clock that reads the source.
func New(source Source) *Clock {
	monotonic, wall := source.Read()
	bootTime, err := source.BootTime()
	c := &Clock{source: source, origin: time.Unix(0, int64(wall)), startMonotonic: monotonic, startBootTime: bootTime, hasBootTime: err == nil}
	c.wallOffset.Store(int64(wall - monotonic))
	c.readAt.Store(int64(monotonic))
	return c
}

// HasBootTime reports whether the source has a clock that counts suspensions.
func (c *Clock) HasBootTime() bool { return c.hasBootTime }

// Now returns the current time. It carries no monotonic reading, so differences of two such times
// include suspensions. It may differ from time.Now by wall clock steps.
func (c *Clock) Now() time.Time { return c.origin.Add(c.elapsed()) }

// Since returns the time elapsed since an earlier time of this clock.
func (c *Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

// Until returns the time left until a later time of this clock.
func (c *Clock) Until(later time.Time) time.Duration { return later.Sub(c.Now()) }

// elapsed returns the time since the clock was created. It never decreases.
func (c *Clock) elapsed() time.Duration {
	monotonic, wall := c.source.Read()
	wallShift := wall - monotonic - time.Duration(c.wallOffset.Load())
	if wallShift > wallOffsetTolerance || wallShift < -wallOffsetTolerance || monotonic-time.Duration(c.readAt.Load()) > bootTimeInterval {
		c.updateSuspended()
	}
	return time.Duration(storeMax(&c.latest, int64(monotonic-c.startMonotonic)+c.suspended.Load()))
}

// updateSuspended reads the clocks and updates the total suspension.
func (c *Clock) updateSuspended() {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	bootTime, err := c.source.BootTime()
	// The monotonic clock is read after the boot time, so that the suspension is never overestimated.
	monotonic, wall := c.source.Read()
	wallShift := wall - monotonic - time.Duration(c.wallOffset.Load())
	c.wallOffset.Store(int64(wall - monotonic))
	c.readAt.Store(int64(monotonic))
	if !c.hasBootTime || err != nil {
		// Without the boot time only the wall clock shows suspensions.
		c.suspended.Add(int64(max(wallShift, 0)))
		return
	}
	storeMax(&c.suspended, int64(bootTime-c.startBootTime-(monotonic-c.startMonotonic)))
}

// storeMax raises the value to the candidate if that is larger, and returns the result.
func storeMax(value *atomic.Int64, candidate int64) int64 {
	for {
		current := value.Load()
		if current >= candidate {
			return current
		}
		if value.CompareAndSwap(current, candidate) {
			return candidate
		}
	}
}

// processClock is the clock of this process.
var processClock atomic.Pointer[Clock]

func init() { processClock.Store(New(systemSource{})) }

// Use replaces the source of the process's clock and returns a function that restores the previous
// one. It is for tests, and must come before any reading that must stay consistent.
func Use(source Source) (restore func()) {
	previous := processClock.Swap(New(source))
	return func() { processClock.Store(previous) }
}

// HasBootTime reports whether this machine has a clock that counts suspensions.
func HasBootTime() bool { return processClock.Load().HasBootTime() }

// Now returns the current time of the process's clock.
func Now() time.Time { return processClock.Load().Now() }

// Since returns the time elapsed since an earlier time of the process's clock.
func Since(earlier time.Time) time.Duration { return processClock.Load().Since(earlier) }

// Until returns the time left until a later time of the process's clock.
func Until(later time.Time) time.Duration { return processClock.Load().Until(later) }
