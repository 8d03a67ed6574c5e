package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// answerLatency is the latency of the backends in these tests.
const answerLatency = 25 * time.Millisecond

// newServiceCatalog returns a catalog of one service with count backends, each modified by change.
func newServiceCatalog(count int, change func(number int, backend *directory.Backend)) *directory.Catalog {
	delta := directory.Delta{Revision: 1, Full: true}
	for number := range count {
		backend := directory.Backend{ID: fmt.Sprintf("b-%05d", number), Service: "s", Address: fmt.Sprint(number), Zone: "z", Slots: 6}
		change(number, &backend)
		delta.Backends = append(delta.Backends, backend)
	}
	return directory.NewCatalog().With(delta)
}

// Each process must use only a few backends of a large service, and keep state for these only.
func TestChooseUsesFewBackends(t *testing.T) {
	const many, concurrent = 3000, 20
	catalog := newServiceCatalog(many, func(int, *directory.Backend) {})
	f := New(&fakeClient{}, "z", newGuard())
	var busy []directory.Backend
	for range 200 {
		for range concurrent {
			backend, ok := f.choose(catalog, []string{"s"}, nil)
			require.True(t, ok)
			busy = append(busy, backend)
		}
		for _, backend := range busy {
			f.recordAttempt(backend, Attempt{Outcome: Answered}, answerLatency, false)
		}
		busy = nil
	}
	require.LessOrEqual(t, len(f.backends), 3*concurrent)
}

// The only healthy backend of a large service must be found.
func TestChooseFindsOnlyHealthyBackend(t *testing.T) {
	const many, healthy = 3000, 1717
	catalog := newServiceCatalog(many, func(number int, backend *directory.Backend) {
		backend.Silent = number != healthy && number%2 == 0
		backend.Draining = number != healthy && number%2 == 1
	})
	f := New(&fakeClient{}, "z", newGuard())
	for range 20 {
		backend, ok := f.choose(catalog, []string{"s"}, nil)
		require.True(t, ok)
		require.Equal(t, "b-01717", backend.ID)
		f.recordAttempt(backend, Attempt{Outcome: Answered}, answerLatency, false)
	}
	backend, ok := f.choose(catalog, []string{"s"}, map[string]bool{"b-01717": true})
	require.True(t, ok && backend.Silent, "a silent backend is eligible")
	drainingCatalog := newServiceCatalog(many, func(_ int, backend *directory.Backend) { backend.Draining = true })
	_, ok = f.choose(drainingCatalog, []string{"s"}, nil)
	require.False(t, ok)
}

// BenchmarkChooseByServiceSize measures the choice of a backend in services of several sizes.
func BenchmarkChooseByServiceSize(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			catalog := newServiceCatalog(size, func(int, *directory.Backend) {})
			f := New(&fakeClient{}, "z", newGuard())
			for b.Loop() {
				backend, _ := f.choose(catalog, []string{"s"}, nil)
				f.recordAttempt(backend, Attempt{Outcome: Answered}, answerLatency, false)
			}
		})
	}
}
