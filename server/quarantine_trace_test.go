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

// The scenarios here are fixed sequences of events, most of them found by TestNothingIsSentBeyondTheBound.

// reviewsPerDelay is a number of reviews that takes longer than sendBudgetDelay.
const reviewsPerDelay = 13

// scenario runs chosen events on a model. Values drawn by rapid have no effect on it.
type scenario struct {
	*quarantineModel
	// reportOrder is the order in which the leader (0) and the runners (1, 2) report a crash.
	reportOrder []int
}

// runScenario runs the steps on a new model.
func runScenario(t *testing.T, reportOrder []int, steps func(s *scenario)) {
	rapid.Check(t, func(drawn *rapid.T) {
		s := &scenario{quarantineModel: newQuarantineModel(drawn), reportOrder: reportOrder}
		for number, sample := range s.samples[crashingSampleCount:] {
			sample.subject.Kind = quarantine.Fingerprint(fmt.Sprint("kind-", number))
		}
		steps(s)
	})
}

// check returns the verdict on the sample, after taking a trial if one is offered.
func (s *scenario) check(subject quarantine.Subject) quarantine.Verdict {
	verdict := s.leader.CheckSubject(subject)
	if !verdict.Quarantined || !verdict.TrialOffered || !s.leader.TakeTrial(context.Background(), verdict.Fingerprint) {
		return verdict
	}
	s.leader.Permit(subject.Content)
	s.syncCatalog()
	return s.leader.CheckSubject(subject)
}

// send sends the sample through a runner to an engine, and reports whether that was allowed.
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

// crashEngineAt crashes the engine with all its runs, and updates the directory and all processes.
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

// advanceReviews advances the time by the number of reviews.
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

// quarantineKind has four crashing samples crash an engine each, so that the kind is quarantined.
func (s *scenario) quarantineKind() {
	for sample := range 3 {
		require.True(s.t, s.send(sample, 0, sample))
	}
	for engine := range 3 {
		s.crashEngineAt(engine)
	}
	s.advanceReviews(reviewsPerDelay)
	require.True(s.t, s.send(0, 0, 1), "the first send after the threshold is reached")
	s.crashEngineAt(1)
	require.True(s.t, s.crashingKind().IsQuarantined())
}

// exhaustBudget sends the crashing samples whenever that is allowed, and crashes their engine. Each send
// checks the budget.
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

// leaderReportsFirst is the report order with the leader first.
var leaderReportsFirst = []int{0, 1, 2}

var reportOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestCrashIsCountedByMostInformedReport checks that a crash is counted in any order of reports if one of the
// samples on the engine was sent with knowledge of the earlier crashes, so that the kind is quarantined.
func TestCrashIsCountedByMostInformedReport(t *testing.T) {
	for _, order := range reportOrders {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			runScenario(t, order, func(s *scenario) {
				for sample := range crashingSampleCount {
					require.True(s.t, s.send(sample, sample%modelRunnerCount, sample), "no crash is known")
				}
				for _, engine := range []int{1, 2, 3} {
					s.crashEngineAt(engine)
				}
				s.advanceReviews(reviewsPerDelay)
				require.Equal(s.t, 1, s.crashingKind().Crashes, "the engines crashed together")
				require.Len(s.t, s.crashingKind().Ended, 3)
				require.True(s.t, s.send(1, 1, 0), "sent with one crash known, to the engine that still runs the first sample")
				s.crashEngineAt(0)
				require.Len(s.t, s.crashingKind().Ended, 4)
				require.Equal(s.t, 2, s.crashingKind().Crashes, "the crash came after the others")
				require.False(s.t, s.send(1, 1, 0), "the kind is quarantined")
				s.exhaustBudget()
			})
		})
	}
}

// TestTrialsDoNotOverlap checks that a trial which runs longer than the trial delay does not let another one
// exceed the budget, whichever sample requests it.
func TestTrialsDoNotOverlap(t *testing.T) {
	for _, otherSample := range []int{0, 3} {
		// A trial may be taken before the next review of the directory's leader, and that leader may
		// change while the trial runs.
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
						require.False(s.t, s.send(0, 0, 2) || s.send(otherSample, 0, 2), "only one trial at a time")
						s.crashEngineAt(1)
					}
					s.exhaustBudget()
				})
			})
		}
	}
}

// awaitTrial advances the time in steps of that many reviews until one of the samples can be sent.
func (s *scenario) awaitTrial(step int, samples ...int) {
	for range 4 * reviewsPerDelay / step {
		s.advanceReviews(step)
		for _, sample := range samples {
			if s.send(sample, 0, 1) {
				return
			}
		}
	}
	require.Fail(s.t, "the budget allows a trial, but none is offered")
}

// TestLostTrialIsOfferedAgain checks that the rest of the budget is still offered if a leader takes a trial
// and crashes before it sends the request.
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

// TestCrashesMatchVersionInUse checks that Exact is not written before all members know it.
func TestCrashesMatchVersionInUse(t *testing.T) {
	reported := []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c", Exact: true}}
	require.Equal(t, reported, crashesForVersion(reported, directory.CrashReportVersion))
	require.Equal(t, []quarantine.Crash{{Fingerprint: "f", Backend: "b", Known: 1, Of: "c"}}, crashesForVersion(reported, directory.CrashReportVersion-1))
	require.True(t, reported[0].Exact)
}

// TestResponseClearsCrashThreshold checks that a response clears a kind that has reached the crash threshold,
// so that a leader which has not received this yet may send the next request.
func TestResponseClearsCrashThreshold(t *testing.T) {
	runScenario(t, leaderReportsFirst, func(s *scenario) {
		kind := s.samples[0].subject.Kind
		harmless := s.samples[crashingSampleCount]
		harmless.subject.Kind = kind
		require.True(s.t, s.send(crashingSampleCount, 0, 3), "a slow harmless sample")
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
		require.Len(s.t, s.crashingKind().Ended, 3, "the response has not been received yet")
		require.True(s.t, s.send(0, 0, 0))
		_, _, isSuspect := s.machine.Suspect(kind)
		require.False(s.t, isSuspect)
		require.Zero(s.t, s.thresholdAt[kind])
	})
}
