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

// holdBack has three deadly samples end an engine each, and one more after that, so that the kind is
// held back.
func (s *script) holdBack() {
	for sample := range 3 {
		require.True(s.t, s.send(sample, 0, sample))
	}
	for engine := range 3 {
		s.ends(engine)
	}
	s.pass(pause)
	s.learn()
	require.True(s.t, s.send(0, 0, 1), "the first after the third end")
	s.ends(1)
	require.True(s.t, s.kind().IsHeld())
}

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

// TestNoTrialBesideTheLastOne: a trial takes longer than the wait for the next one. What the bound
// leaves is given out once, whether the next trial is asked for by the same sample or by another.
func TestNoTrialBesideTheLastOne(t *testing.T) {
	for _, asking := range []int{0, 3} {
		// A trial may be taken right after its offer, before the directory's leader looks again, and
		// another one may lead while it is under way.
		for _, step := range []int{1, pause, 2 * pause} {
			isLost := step > pause
			t.Run(fmt.Sprintf("sample %d, each %d reviews", asking, step), func(t *testing.T) {
				s := newScript(t, []int{0, 1, 2})
				s.holdBack()
				for sends := 2; sends <= boundSends; sends++ {
					s.awaitTrial(step, 0, asking)
					if isLost {
						s.clock = suspectClock{}
					}
					s.pass(4 * pause)
					s.learn()
					require.False(t, s.send(0, 0, 2) || s.send(asking, 0, 2), "one at a time")
					s.ends(1)
				}
				s.requireSpent()
			})
		}
	}
}

// awaitTrial lets time pass, that many reviews at once, until one of the samples is sent.
func (s *script) awaitTrial(step int, samples ...int) {
	for range 4 * pause / step {
		s.pass(step)
		s.learn()
		for _, sample := range samples {
			if s.send(sample, 0, 1) {
				return
			}
		}
	}
	require.Fail(s.t, "the bound leaves a trial, and none is offered")
}

// TestTrialThatIsLostComesAgain: a trial was taken and nothing came of it. What the bound leaves beside
// it is still tried, and an answer ends the suspicion.
func TestTrialThatIsLostComesAgain(t *testing.T) {
	s := newScript(t, []int{0, 1, 2})
	s.holdBack()
	for !s.kind().Offered {
		s.pass(pause)
		s.learn()
	}
	require.True(t, s.apply(directory.Command{TakeTrial: s.kind().Fingerprint}).Granted, "by a leader that is lost then")
	s.learn()
	s.awaitTrial(pause, 0)
	require.Less(t, s.after[s.kind().Fingerprint], boundSends)
}

// TestCrashesAreWrittenAsAllReadThem: before all members know that an end may count by a later telling,
// none is written so.
func TestCrashesAreWrittenAsAllReadThem(t *testing.T) {
	told := []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c", Exact: true}}
	require.Equal(t, told, crashesKnown(told, directory.EndsVersion))
	require.Equal(t, []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c"}}, crashesKnown(told, directory.EndsVersion-1))
	require.True(t, told[0].Exact)
}

// TestSendAfterAnAnswerIsNotOfTheEndsBefore: a kind has ended three engines, and one of it was answered
// since. What is sent next, by a leader that has not heard of either, follows no third end.
func TestSendAfterAnAnswerIsNotOfTheEndsBefore(t *testing.T) {
	s := newScript(t, []int{0, 1, 2})
	kind := s.samples[0].subject.Kind
	sound := s.samples[boundDeadly]
	sound.subject.Kind = kind
	require.True(t, s.send(boundDeadly, 0, 3), "sound, and slow")
	for sample := range 3 {
		require.True(t, s.send(sample, 0, sample))
	}
	for engine := range 3 {
		s.ends(engine)
	}
	s.pass(pause)
	s.engines[3].runs, sound.run = nil, nil
	s.leader.NoteServed(sound.subject)
	s.tell(s.leader)
	_, _, isSuspect := s.machine.Suspect(kind)
	require.False(t, isSuspect, "an answer ends the suspicion")
	require.Len(t, s.kind().Ended, 3, "its news is still to come")
	require.True(t, s.send(0, 0, 0))
	require.Zero(t, s.after[kind])
}
