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
const reviewsPerDelay = 13

// script plays a world of the bound's property by names. What rapid draws has no effect on it.
type scenario struct {
	*quarantineModel
	// order says in which order the leader (0) and the runners (1, 2) are heard of an end.
	reportOrder []int
}

// play plays the story in a world of its own.
func runScenario(t *testing.T, reportOrder []int, steps func(s *scenario)) {
	rapid.Check(t, func(drawn *rapid.T) {
		s := &scenario{quarantineModel: newQuarantineModel(drawn), reportOrder: reportOrder}
		for number, sample := range s.samples[crashingSampleCount:] {
			sample.subject.Kind = quarantine.Fingerprint(fmt.Sprint("kind-", number))
		}
		steps(s)
	})
}

// judge judges the sample, for which an offered trial is taken.
func (s *scenario) check(subject quarantine.Subject) quarantine.Verdict {
	verdict := s.leader.CheckSubject(subject)
	if !verdict.Quarantined || !verdict.TrialOffered || !s.leader.TakeTrial(context.Background(), verdict.Fingerprint) {
		return verdict
	}
	s.leader.Permit(subject.Content)
	s.syncCatalog()
	return s.leader.CheckSubject(subject)
}

// send sends the sample of the number by a runner to an engine, and tells whether it may be.
func (s *scenario) send(sampleIndex, runnerIndex, engineIndex int) bool {
	sample, engine := s.samples[sampleIndex], s.engines[engineIndex]
	if sample.run != nil {
		return false
	}
	verdict := s.check(sample.subject)
	if verdict.Quarantined || verdict.KnownKindCrashes > 0 && s.runsSuspectedKind(sample.subject.Kind) {
		return false
	}
	s.checkSend(sample.subject, s.leader.UsePermit(sample.subject.Content))
	guarded := guardedEngine{guard: s.runners[runnerIndex]}
	sample.run = &modelRun{
		sample: sample, engine: engine, runner: s.runners[runnerIndex], leaderVerdict: verdict, suspected: verdict.KnownKindCrashes > 0,
		runnerVerdict: guarded.check(runner.Request{KnownCrashes: verdict.KnownCrashes, KnownKindCrashes: verdict.KnownKindCrashes}, sample.subject),
	}
	engine.runs = append(engine.runs, sample.run)
	return true
}

// ends ends the engine with all that runs there, and has the directory and all processes hear of it.
func (s *scenario) crashEngineAt(index int) {
	engine := s.engines[index]
	for _, run := range engine.runs {
		run.sample.run = nil
		run.runner.RecordCrash(run.sample.subject, engine.id, run.runnerVerdict)
		s.leader.RecordCrash(run.sample.subject, engine.id, run.leaderVerdict)
	}
	engine.runs, engine.id = nil, s.newEngine().id
	guards := append([]*quarantine.Guard{s.leader}, s.runners...)
	for _, index := range s.reportOrder {
		s.report(guards[index])
	}
	s.syncCatalog()
}

// pass lets the time of that many reviews pass.
func (s *scenario) advanceReviews(reviews int) {
	for range reviews {
		s.now = s.now.Add(reviewInterval)
		s.review()
	}
	s.syncCatalog()
}

func (s *scenario) crashingKind() quarantine.Suspect {
	return s.catalog.Suspects[s.samples[0].subject.Kind]
}

// holdBack has three deadly samples end an engine each, and one more after that, so that the kind is
// held back.
func (s *scenario) quarantineKind() {
	for sample := range 3 {
		require.True(s.t, s.send(sample, 0, sample))
	}
	for engine := range 3 {
		s.crashEngineAt(engine)
	}
	s.advanceReviews(reviewsPerDelay)
	require.True(s.t, s.send(0, 0, 1), "the first after the third end")
	s.crashEngineAt(1)
	require.True(s.t, s.crashingKind().IsQuarantined())
}

// requireSpent has the deadly samples sent as soon and as often as they may be, each of which ends its
// engine; count, which each send goes through, holds them to the bound.
func (s *scenario) exhaustBudget() {
	for round := range 12 {
		for sample := range crashingSampleCount {
			if s.send(sample, round%modelRunnerCount, 0) {
				s.crashEngineAt(0)
			}
		}
		s.advanceReviews(reviewsPerDelay)
	}
}

// leaderFirst has the leader heard of each end first.
var leaderReportsFirst = []int{0, 1, 2}

var reportOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestEndCountsByWhoKnewMost: an engine ends under a sample that was sent before anything was known, and
// under another one of its kind that was sent after three ends. Whoever tells of it first, it is an end
// after those, so that the kind is held back, and sent three more times at the most.
func TestCrashIsCountedByMostInformedReport(t *testing.T) {
	for _, order := range reportOrders {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			runScenario(t, order, func(s *scenario) {
				for sample := range crashingSampleCount {
					require.True(s.t, s.send(sample, sample%modelRunnerCount, sample), "nobody knows anything")
				}
				for _, engine := range []int{1, 2, 3} {
					s.crashEngineAt(engine)
				}
				s.advanceReviews(reviewsPerDelay)
				require.Equal(s.t, 1, s.crashingKind().Crashes, "they fell together")
				require.Len(s.t, s.crashingKind().Ended, 3)
				require.True(s.t, s.send(1, 1, 0), "sent knowing of one end, to the engine where the first one still runs")
				s.crashEngineAt(0)
				require.Len(s.t, s.crashingKind().Ended, 4)
				require.Equal(s.t, 2, s.crashingKind().Crashes, "it came after the others")
				require.False(s.t, s.send(1, 1, 0), "the kind is held back")
				s.exhaustBudget()
			})
		})
	}
}

// TestNoTrialBesideTheLastOne: a trial takes longer than the wait for the next one. What the bound
// leaves is given out once, whether the next trial is asked for by the same sample or by another.
func TestTrialsDoNotOverlap(t *testing.T) {
	for _, otherSample := range []int{0, 3} {
		// A trial may be taken right after its offer, before the directory's leader looks again, and
		// another one may lead while it is under way.
		for _, step := range []int{1, reviewsPerDelay, 2 * reviewsPerDelay} {
			leaderChanges := step > reviewsPerDelay
			t.Run(fmt.Sprintf("sample %d, each %d reviews", otherSample, step), func(t *testing.T) {
				runScenario(t, leaderReportsFirst, func(s *scenario) {
					s.quarantineKind()
					for sends := 2; sends <= sendBudget; sends++ {
						s.awaitTrial(step, 0, otherSample)
						if leaderChanges {
							s.tracker = suspectTracker{}
						}
						s.advanceReviews(4 * reviewsPerDelay)
						require.False(s.t, s.send(0, 0, 2) || s.send(otherSample, 0, 2), "one at a time")
						s.crashEngineAt(1)
					}
					s.exhaustBudget()
				})
			})
		}
	}
}

// awaitTrial lets time pass, that many reviews at once, until one of the samples is sent.
func (s *scenario) awaitTrial(step int, samples ...int) {
	for range 4 * reviewsPerDelay / step {
		s.advanceReviews(step)
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
func TestLostTrialIsOfferedAgain(t *testing.T) {
	runScenario(t, leaderReportsFirst, func(s *scenario) {
		s.quarantineKind()
		for !s.crashingKind().Offered {
			s.advanceReviews(reviewsPerDelay)
		}
		require.True(s.t, s.apply(directory.Command{TakeTrial: s.crashingKind().Fingerprint}).Granted)
		s.syncCatalog()
		s.awaitTrial(reviewsPerDelay, 0)
	})
}

// TestCrashesAreWrittenAsAllReadThem: before all members know that an end may count by a later telling,
// none is written so.
func TestCrashesMatchVersionInUse(t *testing.T) {
	reported := []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c", Exact: true}}
	require.Equal(t, reported, crashesForVersion(reported, directory.CrashReportVersion))
	require.Equal(t, []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c"}}, crashesForVersion(reported, directory.CrashReportVersion-1))
	require.True(t, reported[0].Exact)
}

// TestSendAfterAnAnswerFollowsNoThirdEnd: a kind has ended three engines, and one of it was answered
// since. A leader that has not heard of the answer's news sends the next one; no third end stands then.
func TestResponseClearsCrashThreshold(t *testing.T) {
	runScenario(t, leaderReportsFirst, func(s *scenario) {
		kind := s.samples[0].subject.Kind
		harmless := s.samples[crashingSampleCount]
		harmless.subject.Kind = kind
		require.True(s.t, s.send(crashingSampleCount, 0, 3), "sound, and slow")
		for sample := range 3 {
			require.True(s.t, s.send(sample, 0, sample))
		}
		for engine := range 3 {
			s.crashEngineAt(engine)
		}
		s.advanceReviews(reviewsPerDelay)
		require.NotZero(s.t, s.thresholdAt[kind])
		s.engines[3].runs, harmless.run = nil, nil
		s.leader.RecordResponse(harmless.subject)
		s.report(s.leader)
		require.Len(s.t, s.crashingKind().Ended, 3, "its news is still to come")
		require.True(s.t, s.send(0, 0, 0))
		_, _, isSuspect := s.machine.Suspect(kind)
		require.False(s.t, isSuspect)
		require.Zero(s.t, s.thresholdAt[kind])
	})
}
