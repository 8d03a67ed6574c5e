package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeSource is a Source with clocks set by a test.
type fakeSource struct {
	monotonic, wall, bootTime time.Duration
	failsBootTime             bool
}

func (s *fakeSource) Read() (monotonic, wall time.Duration) { return s.monotonic, s.wall }

func (s *fakeSource) BootTime() (time.Duration, error) {
	if s.failsBootTime {
		return 0, errors.New("no such clock")
	}
	return s.bootTime, nil
}

// advance lets time pass while the machine runs, and suspend while it is suspended.
func (s *fakeSource) advance(duration time.Duration) {
	s.monotonic += duration
	s.suspend(duration)
}

func (s *fakeSource) suspend(duration time.Duration) {
	s.wall += duration
	s.bootTime += duration
}

func newFakeSource() *fakeSource {
	return &fakeSource{monotonic: time.Hour, wall: 20000 * time.Hour, bootTime: 3 * time.Hour}
}

func TestSuspensionsCount(t *testing.T) {
	source := newFakeSource()
	c := New(source)
	start := c.Now()
	source.advance(time.Second)
	require.Equal(t, time.Second, c.Since(start))
	source.suspend(5 * time.Second)
	require.Equal(t, 6*time.Second, c.Since(start), "first reading after the suspension")
	source.advance(time.Millisecond)
	require.Equal(t, 6*time.Second+time.Millisecond, c.Since(start))
	require.Equal(t, time.Second, c.Until(c.Now().Add(time.Second)))
}

// TestWallClockStepsDoNotCount checks steps in both directions on a machine with a boot-time clock.
func TestWallClockStepsDoNotCount(t *testing.T) {
	source := newFakeSource()
	c := New(source)
	start := c.Now()
	source.wall += time.Hour
	require.Zero(t, c.Since(start))
	source.wall -= 2 * time.Hour
	source.advance(time.Second)
	require.Equal(t, time.Second, c.Since(start))
}

// TestSuspensionHiddenByWallClockStepIsDetected checks that a backward step hides a suspension for at
// most bootTimeInterval.
func TestSuspensionHiddenByWallClockStepIsDetected(t *testing.T) {
	source := newFakeSource()
	c := New(source)
	start := c.Now()
	source.suspend(time.Minute)
	source.wall -= time.Minute
	source.advance(bootTimeInterval + 1)
	require.Equal(t, time.Minute+bootTimeInterval+1, c.Since(start))
}

// TestWithoutBootTime checks that forward steps of the wall clock then count as suspensions and
// backward steps do not, so that waiting for the end of a lease never takes too long.
func TestWithoutBootTime(t *testing.T) {
	source := newFakeSource()
	source.failsBootTime = true
	c := New(source)
	require.False(t, c.HasBootTime())
	start := c.Now()
	source.suspend(time.Minute)
	require.Equal(t, time.Minute, c.Since(start))
	source.wall -= time.Hour
	require.Equal(t, time.Minute, c.Since(start))
	source.advance(time.Second)
	require.Equal(t, time.Minute+time.Second, c.Since(start))
}

// TestTimeIsMonotonic checks that the time never decreases, whatever the clocks do, and is exact while
// they are reliable.
func TestTimeIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newFakeSource()
		c := New(source)
		start := c.Now()
		last, elapsed, exact := start, time.Duration(0), true
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			duration := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "duration"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				source.advance(duration)
				elapsed += duration
			case 2:
				source.suspend(duration)
				// A short suspension is detected only at the next reading of the boot time.
				source.advance(bootTimeInterval + 1)
				elapsed += duration + bootTimeInterval + 1
			case 3:
				source.wall -= duration
			case 4:
				source.bootTime -= duration
				exact = exact && duration == 0
			case 5:
				source.failsBootTime, exact = !source.failsBootTime, false
			}
			now := c.Now()
			require.False(t, now.Before(last))
			last = now
			if exact {
				require.Equal(t, elapsed, now.Sub(start))
			}
		}
	})
}

func TestProcessClock(t *testing.T) {
	require.True(t, HasBootTime())
	source := &Suspendable{}
	restore := Use(source)
	defer restore()
	start := Now()
	source.Suspend(time.Hour)
	// The two clocks are read one after the other.
	require.Greater(t, Since(start), time.Hour-time.Minute)
	require.Less(t, Until(start), -time.Hour+time.Minute)
}

func BenchmarkNow(b *testing.B) {
	b.Run("package clock", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("package time", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
	b.Run("system call", func(b *testing.B) {
		for b.Loop() {
			_, _ = systemSource{}.BootTime()
		}
	})
}
