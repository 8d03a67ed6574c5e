package server

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
)

// The cases here are played by name, without draws: what the bound's property found, step by step.

// pause is a number of reviews that take longer than boundTime.
const pause = 13

// script plays a world of the bound's property by names. What rapid draws has no effect on it.
type script struct {
	*boundWorld
	// order says in which order the leader (0) and the runners (1, 2) are heard of an end.
	order []int
}

// play plays the story in a world of its own.
func play(t *testing.T, order []int, story func(s *script)) {
	rapid.Check(t, func(drawn *rapid.T) {
		s := &script{boundWorld: newBoundWorld(drawn), order: order}
		for number, sample := range s.samples[boundDeadly:] {
			sample.subject.Kind = quarantine.Fingerprint(fmt.Sprint("kind-", number))
		}
		story(s)
	})
}

// judge judges the sample, for which an offered trial is taken.
func (s *script) judge(subject quarantine.Subject) quarantine.Verdict {
	verdict := s.leader.CheckSubject(subject)
	if !verdict.Quarantined || !verdict.TrialOffered || !s.leader.TakeTrial(context.Background(), verdict.Fingerprint) {
		return verdict
	}
	s.leader.Permit(subject.Content)
	s.learn()
	return s.leader.CheckSubject(subject)
}

// send sends the sample of the number by a runner to an engine, and tells whether it may be.
func (s *script) send(number, by, to int) bool {
	sample, engine := s.samples[number], s.engines[to]
	if sample.run != nil {
		return false
	}
	verdict := s.judge(sample.subject)
	if verdict.Quarantined || verdict.KnownKindCrashes > 0 && s.triesKind(sample.subject.Kind) {
		return false
	}
	s.count(sample.subject, s.leader.UsePermit(sample.subject.Content))
	guarded := guardedEngine{guard: s.runners[by]}
	sample.run = &boundRun{
		sample: sample, engine: engine, runner: s.runners[by], leaderKnew: verdict, suspected: verdict.KnownKindCrashes > 0,
		runnerKnew: guarded.judge(runner.Request{KnownCrashes: verdict.KnownCrashes, KnownKindCrashes: verdict.KnownKindCrashes}, sample.subject),
	}
	engine.runs = append(engine.runs, sample.run)
	return true
}

// ends ends the engine with all that runs there, and has the directory and all processes hear of it.
func (s *script) ends(number int) {
	engine := s.engines[number]
	for _, run := range engine.runs {
		run.sample.run = nil
		run.runner.RecordCrash(run.sample.subject, engine.id, run.runnerKnew)
		s.leader.RecordCrash(run.sample.subject, engine.id, run.leaderKnew)
	}
	engine.runs, engine.id = nil, s.newEngine().id
	tellers := append([]*quarantine.Guard{s.leader}, s.runners...)
	for _, place := range s.order {
		s.tell(tellers[place])
	}
	s.learn()
}

// pass lets the time of that many reviews pass.
func (s *script) pass(reviews int) {
	for range reviews {
		s.now = s.now.Add(reviewInterval)
		s.review()
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
	require.True(s.t, s.send(0, 0, 1), "the first after the third end")
	s.ends(1)
	require.True(s.t, s.kind().IsQuarantined())
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
	}
}

// leaderFirst has the leader heard of each end first.
var leaderFirst = []int{0, 1, 2}

var tellingOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestEndCountsByWhoKnewMost: an engine ends under a sample that was sent before anything was known, and
// under another one of its kind that was sent after three ends. Whoever tells of it first, it is an end
// after those, so that the kind is held back, and sent three more times at the most.
func TestEndCountsByWhoKnewMost(t *testing.T) {
	for _, order := range tellingOrders {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			play(t, order, func(s *script) {
				for sample := range boundDeadly {
					require.True(s.t, s.send(sample, sample%boundRunners, sample), "nobody knows anything")
				}
				for _, engine := range []int{1, 2, 3} {
					s.ends(engine)
				}
				s.pass(pause)
				require.Equal(s.t, 1, s.kind().Crashes, "they fell together")
				require.Len(s.t, s.kind().Ended, 3)
				require.True(s.t, s.send(1, 1, 0), "sent knowing of one end, to the engine where the first one still runs")
				s.ends(0)
				require.Len(s.t, s.kind().Ended, 4)
				require.Equal(s.t, 2, s.kind().Crashes, "it came after the others")
				require.False(s.t, s.send(1, 1, 0), "the kind is held back")
				s.requireSpent()
			})
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
				play(t, leaderFirst, func(s *script) {
					s.holdBack()
					for sends := 2; sends <= boundSends; sends++ {
						s.awaitTrial(step, 0, asking)
						if isLost {
							s.clock = suspectClock{}
						}
						s.pass(4 * pause)
						require.False(s.t, s.send(0, 0, 2) || s.send(asking, 0, 2), "one at a time")
						s.ends(1)
					}
					s.requireSpent()
				})
			})
		}
	}
}

// awaitTrial lets time pass, that many reviews at once, until one of the samples is sent.
func (s *script) awaitTrial(step int, samples ...int) {
	for range 4 * pause / step {
		s.pass(step)
		for _, sample := range samples {
			if s.send(sample, 0, 1) {
				return
			}
		}
	}
	require.Fail(s.t, "the bound leaves a trial, and none is offered")
}

// TestTrialThatIsLostComesAgain: a trial was taken by a leader that is lost then. What the bound leaves
// beside it is still tried.
func TestTrialThatIsLostComesAgain(t *testing.T) {
	play(t, leaderFirst, func(s *script) {
		s.holdBack()
		for !s.kind().Offered {
			s.pass(pause)
		}
		require.True(s.t, s.apply(directory.Command{TakeTrial: s.kind().Fingerprint}).Granted)
		s.learn()
		s.awaitTrial(pause, 0)
	})
}

// TestCrashesAreWrittenAsAllReadThem: before all members know that an end may count by a later telling,
// none is written so.
func TestCrashesAreWrittenAsAllReadThem(t *testing.T) {
	told := []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c", Exact: true}}
	require.Equal(t, told, crashesKnown(told, directory.CrashReportVersion))
	require.Equal(t, []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c"}}, crashesKnown(told, directory.CrashReportVersion-1))
	require.True(t, told[0].Exact)
}

// TestSendAfterAnAnswerFollowsNoThirdEnd: a kind has ended three engines, and one of it was answered
// since. A leader that has not heard of the answer's news sends the next one; no third end stands then.
func TestSendAfterAnAnswerFollowsNoThirdEnd(t *testing.T) {
	play(t, leaderFirst, func(s *script) {
		kind := s.samples[0].subject.Kind
		sound := s.samples[boundDeadly]
		sound.subject.Kind = kind
		require.True(s.t, s.send(boundDeadly, 0, 3), "sound, and slow")
		for sample := range 3 {
			require.True(s.t, s.send(sample, 0, sample))
		}
		for engine := range 3 {
			s.ends(engine)
		}
		s.pass(pause)
		require.NotZero(s.t, s.thirdAt[kind])
		s.engines[3].runs, sound.run = nil, nil
		s.leader.RecordResponse(sound.subject)
		s.tell(s.leader)
		require.Len(s.t, s.kind().Ended, 3, "its news is still to come")
		require.True(s.t, s.send(0, 0, 0))
		_, _, isSuspect := s.machine.Suspect(kind)
		require.False(s.t, isSuspect)
		require.Zero(s.t, s.thirdAt[kind])
	})
}
