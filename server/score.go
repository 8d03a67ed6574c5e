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
	reward := task.Sample.Reward
	for ctx.Err() == nil {
		catalog := l.watcher.Catalog()
		path, _, _ := strings.Cut(reward.Path, "?")
		route, ok := catalog.Table.Match(reward.Host, path)
		if ok && l.rewardLimiter.acquire(ctx, route.Key(), maxRewardCalls(catalog, route)) {
			result := l.sendReward(ctx, catalog, route, reward)
			l.rewardLimiter.release(route.Key())
			if result.Response != nil && result.Response.Status/100 == 2 {
				return result.Response.Signature, rewardScored
			}
			failures += result.Failures
			if failures >= max(route.Attempts, 1) {
				return "", rewardFailed
			}
			if result.Failures > 0 {
				l.loop.Submit(func() { l.recordRewardFailures(task, failures) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewardBackoff):
		}
	}
	return "", rewardCancelled
}

// sendReward sends the call once. Its sample is owed, and so is the call.
func (l *leadership) sendReward(ctx context.Context, catalog *directory.Catalog, route routing.Route, reward *ledger.Reward) forward.Result {
	timeout := time.Duration(route.TimeoutMillis) * time.Millisecond
	request := &forward.Request{
		ID: reward.ID, StableID: true, IsOwed: true, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Deadline: clock.Now().Add(timeout),
	}
	return l.forwarder.Do(ctx, catalog, route, request)
}
