package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/scheduler"
)

// score requests the score of a complete text, then finishes the task.
func (t *leadership) score(task *scheduler.Task) {
	if task.Sample.Reward == nil {
		t.finish(task, succeededResult(task, ""), "")
		return
	}
	scoreContext, cancel := context.WithCancel(t.context)
	t.cancels[task] = cancel
	failures := task.Failures.Rewards
	go func() {
		defer cancel()
		score, outcome := t.callReward(scoreContext, task, failures)
		if outcome != rewardCancelled {
			t.loop.Submit(func() { t.scoringEnded(task, score, outcome) })
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
func (t *leadership) recordRewardFailures(task *scheduler.Task, failures int) {
	if task.State != scheduler.Scoring {
		return
	}
	task.Failures.Rewards = max(task.Failures.Rewards, failures)
	t.recordFailures(task)
}

func (t *leadership) scoringEnded(task *scheduler.Task, score string, outcome rewardOutcome) {
	if task.State != scheduler.Scoring {
		return
	}
	delete(t.cancels, task)
	if outcome == rewardFailed {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "no score")
		return
	}
	t.finish(task, succeededResult(task, score), "")
}

func succeededResult(task *scheduler.Task, score string) ledger.Result {
	return ledger.Result{
		Sample: task.Sample.ID, State: ledger.Succeeded, Text: ledger.JoinEvents(task.Text.Events),
		Versions: task.Text.Versions, Score: score,
	}
}

// callReward retries the reward call until it succeeds or has failed as often as its route allows. The
// failures under earlier leaders count, too.
func (t *leadership) callReward(ctx context.Context, task *scheduler.Task, failures int) (score string, outcome rewardOutcome) {
	reward := task.Sample.Reward
	for ctx.Err() == nil {
		catalog := t.watcher.Catalog()
		path, _, _ := strings.Cut(reward.Path, "?")
		route, ok := catalog.Table.Match(reward.Host, path)
		if ok && t.rewardLimiter.acquire(ctx, route.Key(), maxRewardCalls(catalog, route)) {
			result := t.sendReward(ctx, catalog, route, reward)
			t.rewardLimiter.release(route.Key())
			if result.Response != nil && result.Response.Status/100 == 2 {
				return result.Response.Signature, rewardScored
			}
			failures += result.Failures
			if failures >= max(route.Attempts, 1) {
				return "", rewardFailed
			}
			if result.Failures > 0 {
				t.loop.Submit(func() { t.recordRewardFailures(task, failures) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewardBackoff):
		}
	}
	return "", rewardCancelled
}

// sendReward sends the call once. A call of a suspected kind is postponed while another one of that kind is
// active.
func (t *leadership) sendReward(ctx context.Context, catalog *directory.Catalog, route routing.Route, reward *ledger.Reward) forward.Result {
	timeout := time.Duration(route.TimeoutMillis) * time.Millisecond
	request := &forward.Request{
		ID: reward.ID, StableID: true, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Deadline: clock.Now().Add(timeout),
	}
	if verdict := t.guard.CheckContent(request.Content()); verdict.KnownKindCrashes > 0 {
		kind := verdict.Subject.Kind
		if !t.turns.tryLock(kind) {
			return forward.Result{Reason: forward.Postponed}
		}
		defer t.turns.unlock(kind)
	}
	return t.forwarder.Do(ctx, catalog, route, request)
}
