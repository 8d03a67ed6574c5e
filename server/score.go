package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/scheduler"
)

// score requests the score of a complete text, then finishes the task.
func (l *leadership) score(task *scheduler.Task) {
	if task.Sample.Reward == nil {
		l.finish(task, succeededResult(task, ""), "")
		return
	}
	scoreContext, cancel := context.WithCancel(l.context)
	l.cancels[task] = cancel
	failures := task.Failures.Rewards
	go func() {
		defer cancel()
		score, outcome := l.callReward(scoreContext, task, failures)
		if outcome != rewardCancelled {
			l.loop.Submit(func() { l.scoringEnded(task, score, outcome) })
		}
	}()
}

// rewardOutcome is the outcome of a reward call with its retries.
type rewardOutcome uint8

const (
	rewardScored rewardOutcome = iota + 1
	// rewardFailed means that the call has failed as often as its route allows.
	rewardFailed
	// rewardCancelled means that the score is no longer needed or the leadership has ended. It is not a
	// failure of the sample.
	rewardCancelled
)

// recordRewardFailures records the failures of a task's reward calls.
func (l *leadership) recordRewardFailures(task *scheduler.Task, failures int) {
	if task.State != scheduler.Scoring {
		return
	}
	task.Failures.Rewards = max(task.Failures.Rewards, failures)
	l.recordFailures(task)
}

func (l *leadership) scoringEnded(task *scheduler.Task, score string, outcome rewardOutcome) {
	if task.State != scheduler.Scoring {
		return
	}
	delete(l.cancels, task)
	if outcome == rewardFailed {
		l.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "no score")
		return
	}
	l.finish(task, succeededResult(task, score), "")
}

func succeededResult(task *scheduler.Task, score string) ledger.Result {
	return ledger.Result{
		Sample: task.Sample.ID, State: ledger.Succeeded, Text: ledger.JoinEvents(task.Text.Events),
		Versions: task.Text.Versions, Score: score,
	}
}

// callReward retries the reward call until it succeeds or has failed as often as its route allows. The
// failures under earlier leaders count, too.
func (l *leadership) callReward(ctx context.Context, task *scheduler.Task, failures int) (score string, outcome rewardOutcome) {
	for ctx.Err() == nil {
		attempt := l.attemptReward(ctx, task)
		l.recordRewardAttempt(task, attempt)
		if attempt.isScored() {
			return attempt.result.Response.Signature, rewardScored
		}
		failures += attempt.result.Failures
		if attempt.isSent && failures >= max(attempt.route.Attempts, 1) {
			return "", rewardFailed
		}
		if attempt.result.Failures > 0 {
			l.loop.Submit(func() { l.recordRewardFailures(task, failures) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewardBackoff):
		}
	}
	return "", rewardCancelled
}

// rewardAttempt is one attempt at a reward call.
type rewardAttempt struct {
	route routing.Route
	// isSent is set if the call had a route and a place. Otherwise the result is empty.
	isSent bool
	result forward.Result
	// waited is the time until the call got its place, and took the time of the call.
	waited, took time.Duration
}

// isScored reports whether the call succeeded. The signature of the response is the score, so one without a signature
// scores nothing.
func (a rewardAttempt) isScored() bool {
	response := a.result.Response
	return response != nil && response.Status/100 == http.StatusOK/100 && response.Signature != ""
}

// attemptReward waits for a place among the route's calls and sends the call once.
func (l *leadership) attemptReward(ctx context.Context, task *scheduler.Task) rewardAttempt {
	reward := task.Sample.Reward
	began := clock.Now()
	catalog, route, ok := l.matchReward(reward)
	if !ok || !l.rewardLimiter.acquire(ctx, route.Key(), maxRewardCalls(catalog, route)) {
		return rewardAttempt{route: route, waited: clock.Since(began)}
	}
	defer l.rewardLimiter.release(route.Key())
	// Backends and routes may have changed during the wait.
	catalog, current, ok := l.matchReward(reward)
	attempt := rewardAttempt{route: current, isSent: ok, waited: clock.Since(began)}
	if ok {
		attempt.result = l.sendReward(ctx, catalog, current, reward)
		attempt.took = clock.Since(began) - attempt.waited
	}
	return attempt
}

// matchReward returns the newest copy of the directory and the route of the call in it, if there is one.
func (l *leadership) matchReward(reward *ledger.Reward) (*directory.Catalog, routing.Route, bool) {
	catalog := l.watcher.Catalog()
	path, _, _ := strings.Cut(reward.Path, "?")
	route, ok := catalog.Table.Match(reward.Host, path)
	return catalog, route, ok
}

// slowRewardWait is the time that a reward call may wait for its place before it is logged.
const slowRewardWait = time.Second

// recordRewardAttempt logs an attempt that did not score its sample, or waited for long. The interval between
// attempts limits the lines of one sample, and the places those of all.
func (l *leadership) recordRewardAttempt(task *scheduler.Task, attempt rewardAttempt) {
	if attempt.isScored() && attempt.waited < slowRewardWait || l.context.Err() != nil {
		return
	}
	status := 0
	if attempt.result.Response != nil {
		status = attempt.result.Response.Status
	}
	event.RewardDelayed.On(l.logger).Str("sample", task.Sample.ID).Str("reward", task.Sample.Reward.ID).Str("step", task.Step.ID).
		Str("route", attempt.route.Name).Str("backend", attempt.result.Backend).Uint("attempts", uint64(attempt.result.Attempts)).
		Uint("status", uint64(status)).Str("reason", string(attempt.result.Reason)).
		Uint("waited_ms", uint64(attempt.waited.Milliseconds())).Uint("ms", uint64(attempt.took.Milliseconds())).Send()
}

// sendReward sends the call once. Unlike a sample, it may be a request that crashes what runs it. A call of a suspected
// kind is postponed while another one of that kind is active.
func (l *leadership) sendReward(ctx context.Context, catalog *directory.Catalog, route routing.Route, reward *ledger.Reward) forward.Result {
	timeout := time.Duration(route.TimeoutMillis) * time.Millisecond
	request := &forward.Request{
		ID: reward.ID, StableID: true, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Deadline: clock.Now().Add(timeout),
	}
	if verdict := l.guard.CheckContent(request.Content()); verdict.KnownKindCrashes > 0 {
		kind := verdict.Subject.Kind
		if !l.kindLocks.tryLock(kind) {
			return forward.Result{Reason: forward.Postponed}
		}
		defer l.kindLocks.unlock(kind)
	}
	return l.forwarder.Do(ctx, catalog, route, request)
}
