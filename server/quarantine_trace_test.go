package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// The cases here are played by name, without draws: what the bound's property found, step by step.

// pause is a number of reviews that take longer than boundTime.
const pause = 13

// script plays a world by names.
type script struct {
	*boundWorld
	t *testing.T
	// order says in which order the leader (0) and the runners (1, 2) are heard of an end.
	order []int
}

func newScript(t *testing.T, order []int) *script {
	return &script{boundWorld: newBoundWorldOf(t, func() bool { return false }), t: t, order: order}
}

// send sends the deadly sample of the number by a runner to an engine, and tells whether it may be.
func (s *script) send(sample, runner, engine int) bool {
	return s.sendTo(s.samples[sample], func() *quarantine.Guard { return s.runners[runner] }, func() *boundEngine { return s.engines[engine] })
}

// ends ends the engine, and has the directory and all processes hear of it.
func (s *script) ends(engine int) {
	s.breakOff(s.engines[engine])
	tellers := s.tellers()
	for _, place := range s.order {
		s.tell(tellers[place])
	}
	s.learn()
}

func (s *script) kind() quarantine.Suspect { return s.view.Suspects[s.samples[0].subject.Kind] }

// requireSpent has the deadly samples sent as soon and as often as they may be, each of which ends its
// engine; count, which each send goes through, holds them to the bound.
func (s *script) requireSpent() {
	for round := range 12 {
		for sample := range boundDeadly {
			if s.send(sample, round%boundRunners, 0) {
				s.ends(0)
			}
		}
		s.pass(pause)
		s.learn()
	}
}

var tellingOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestEndCountsByWhoKnewMost: an engine ends under a sample that was sent before anything was known, and
// under another one of its kind that was sent after three ends. Whoever tells of it first, it is an end
// after those, so that the kind is held back, and sent three more times at the most.
func TestEndCountsByWhoKnewMost(t *testing.T) {
	for _, order := range tellingOrders {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			s := newScript(t, order)
			for sample := range boundDeadly {
				require.True(t, s.send(sample, sample%boundRunners, sample), "nobody knows anything")
			}
			for _, engine := range []int{1, 2, 3} {
				s.ends(engine)
			}
			s.pass(pause)
			s.learn()
			require.Equal(t, 1, s.kind().Crashes, "they fell together")
			require.Len(t, s.kind().Ended, 3)
			require.True(t, s.send(1, 1, 0), "sent knowing of one end, to the engine where the first one still runs")
			s.ends(0)
			require.Len(t, s.kind().Ended, 4)
			require.Equal(t, 2, s.kind().Crashes, "it came after the others")
			require.False(t, s.send(1, 1, 0), "the kind is held back")
			s.requireSpent()
		})
	}
}

// TestCrashesAreWrittenAsAllReadThem: before all members know that an end may count by a later telling,
// none is written so.
func TestCrashesAreWrittenAsAllReadThem(t *testing.T) {
	told := []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c", Exact: true}}
	require.Equal(t, told, crashesKnown(told, directory.EndsVersion))
	require.Equal(t, []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c"}}, crashesKnown(told, directory.EndsVersion-1))
	require.True(t, told[0].Exact)
}
