package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Retries must be distinguished from first attempts by their remaining time. Two thirds of the requests are
// first attempts with 800 ms, some with 500 or 1600 ms; retries have waited for 60 to 260 ms.
func TestRetriesAreDetected(t *testing.T) {
	detector, random, now := retryDetector{routes: map[string]*recentRemainingTimes{}}, rand.New(rand.NewPCG(1, 2)), time.Unix(1_000_000, 0)
	wrong := map[bool]int{}
	for position := range 3000 {
		now = now.Add(20 * time.Millisecond)
		deadline, isRetry := 800*time.Millisecond, position%3 == 0
		switch {
		case isRetry:
			deadline -= time.Duration(60+random.IntN(200)) * time.Millisecond
		case position%10 == 1:
			deadline = 500 * time.Millisecond
		case position%25 == 2:
			deadline = 1600 * time.Millisecond
		}
		// Up to 3 ms pass in transit.
		deadline -= time.Duration(random.IntN(3000)) * time.Microsecond
		if detector.isRetry(now, "r", deadline) != isRetry && position > 200 {
			wrong[isRetry]++
		}
	}
	require.Zero(t, wrong[false])
	require.Less(t, wrong[true], 50)
}

// Routes without recent requests must not take up memory.
func TestStaleRoutesAreRemoved(t *testing.T) {
	detector, now := retryDetector{routes: map[string]*recentRemainingTimes{}}, time.Unix(1_000_000, 0)
	require.False(t, detector.isRetry(now, "r", time.Second))
	detector.removeStale(now.Add(remainingTimeDecay + time.Second))
	require.Empty(t, detector.routes)
}
