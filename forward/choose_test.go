package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// usualAnswer is how long backends take here.
const usualAnswer = 25 * time.Millisecond

// serviceOf returns a catalog of one service with that many backends, of which some are changed.
func serviceOf(count int, change func(number int, backend *directory.Backend)) *directory.Catalog {
	delta := directory.Delta{Revision: 1, Full: true}
	for number := range count {
		backend := directory.Backend{ID: fmt.Sprintf("b-%05d", number), Service: "s", Address: fmt.Sprint(number), Zone: "z", Slots: 6}
		change(number, &backend)
		delta.Backends = append(delta.Backends, backend)
	}
	return directory.NewCatalog().With(delta)
}

// TestChoiceAmongMany: of many backends a process uses as many as it has requests under way, and
// what it remembers does not grow with the service.
func TestChoiceAmongMany(t *testing.T) {
	const many, underWay = 3000, 20
	catalog := serviceOf(many, func(int, *directory.Backend) {})
	f := New(&scripted{}, "z", noSuspects())
	var busy []directory.Backend
	for range 200 {
		for range underWay {
			backend, ok := f.choose(catalog, []string{"s"}, nil)
			require.True(t, ok)
			busy = append(busy, backend)
		}
		for _, backend := range busy {
			f.note(backend, Attempt{Outcome: Answered}, usualAnswer, false)
		}
		busy = nil
	}
	require.LessOrEqual(t, len(f.backends), 3*underWay)
}

// TestTheSoundOneAmongMany: where all but one of many backends are silent, drain or were tried,
// that one is found.
func TestTheSoundOneAmongMany(t *testing.T) {
	const many, sound = 3000, 1717
	catalog := serviceOf(many, func(number int, backend *directory.Backend) {
		backend.Silent = number != sound && number%2 == 0
		backend.Draining = number != sound && number%2 == 1
	})
	f := New(&scripted{}, "z", noSuspects())
	for range 20 {
		backend, ok := f.choose(catalog, []string{"s"}, nil)
		require.True(t, ok)
		require.Equal(t, "b-01717", backend.ID)
		f.note(backend, Attempt{Outcome: Answered}, usualAnswer, false)
	}
	backend, ok := f.choose(catalog, []string{"s"}, map[string]bool{"b-01717": true})
	require.True(t, ok && backend.Silent, "a silent one may be well")
	none := serviceOf(many, func(_ int, backend *directory.Backend) { backend.Draining = true })
	_, ok = f.choose(none, []string{"s"}, nil)
	require.False(t, ok)
}

// BenchmarkChooseAmongMany takes a backend for a request, of services of several sizes.
func BenchmarkChooseAmongMany(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			catalog := serviceOf(size, func(int, *directory.Backend) {})
			f := New(&scripted{}, "z", noSuspects())
			for b.Loop() {
				backend, _ := f.choose(catalog, []string{"s"}, nil)
				f.note(backend, Attempt{Outcome: Answered}, usualAnswer, false)
			}
		})
	}
}
