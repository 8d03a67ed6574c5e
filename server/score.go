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

// score has a whole text scored, and lists it then.
func (t *tenure) score(task *scheduler.Task) {
	if task.Sample.Reward == nil {
		t.finish(task, wholeResult(task, ""), "")
		return
	}
	scoreContext, cancel := context.WithCancel(t.context)
	t.cancels[task] = cancel
	failures := task.Failures.Rewards
	go func() {
		defer cancel()
		score, end := t.callReward(scoreContext, task, failures)
		if end != rewardCancelled {
			t.loop.Submit(func() { t.scored(task, score, end) })
		}
	}()
}

// rewardEnd is how a reward call ended.
type rewardEnd uint8

const (
	rewardScored rewardEnd = iota + 1
	// rewardFailed: the call was answered with a failure as often as its route allows.
	rewardFailed
	// rewardCancelled: it is not wanted any more, or the leadership has ended. That
	// tells nothing of the sample.
	rewardCancelled
)

// noteRewardFailures has the failures of a task's reward calls recorded.
func (t *tenure) noteRewardFailures(task *scheduler.Task, failures int) {
	if task.State != scheduler.Scoring {
		return
	}
	task.Failures.Rewards = max(task.Failures.Rewards, failures)
	t.keepFailures(task)
}

func (t *tenure) scored(task *scheduler.Task, score string, end rewardEnd) {
	if task.State != scheduler.Scoring {
		return
	}
	delete(t.cancels, task)
	if end == rewardFailed {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "no score")
		return
	}
	t.finish(task, wholeResult(task, score), "")
}

func wholeResult(task *scheduler.Task, score string) ledger.Result {
	return ledger.Result{
		Sample: task.Sample.ID, State: ledger.Succeeded, Text: ledger.JoinEvents(task.Text.Events),
		Versions: task.Text.Versions, Score: score,
	}
}

// callReward repeats the reward call until it is answered with a success, or
// has failed as often as its route allows, with the failures under earlier leaders.
func (t *tenure) callReward(ctx context.Context, task *scheduler.Task, failures int) (score string, end rewardEnd) {
	reward := task.Sample.Reward
	for ctx.Err() == nil {
		catalog := t.watcher.Catalog()
		path, _, _ := strings.Cut(reward.Path, "?")
		route, ok := catalog.Table.Match(reward.Host, path)
		if ok && t.rewards.enter(ctx, route.Key(), mostRewards(catalog, route)) {
			result := t.sendReward(ctx, catalog, route, reward)
			t.rewards.leave(route.Key())
			if result.Response != nil && result.Response.Status/100 == 2 {
				return result.Response.Signature, rewardScored
			}
			failures += result.Failures
			if failures >= max(route.Attempts, 1) {
				return "", rewardFailed
			}
			if result.Failures > 0 {
				t.loop.Submit(func() { t.noteRewardFailures(task, failures) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewardBackoff):
		}
	}
	return "", rewardCancelled
}

// sendReward sends the call. One of a suspected kind is sent only if no other of the kind is under
// way, and otherwise comes to nothing.
func (t *tenure) sendReward(ctx context.Context, catalog *directory.Catalog, route routing.Route, reward *ledger.Reward) forward.Result {
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
