package server

import (
	"context"
	"sync"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// checkpointInterval is the time from the start of a run to its first checkpoint, and the minimum time
	// between two checkpoints.
	checkpointInterval = time.Second
	// minCheckpointEvents is the minimum number of new events in a checkpoint.
	minCheckpointEvents = 16
	// maxCheckpointBytes limits the texts in one commit.
	maxCheckpointBytes = 512 << 10
)

// progressMaxAge is how long the last batch counts as the current progress of a run. A longer silence than
// a runner's keepalive interval means that the engine has stalled.
const progressMaxAge = 250 * time.Millisecond

// runProgress holds the text of an active run. The run's goroutine extends it and the event loop reads it.
type runProgress struct {
	// checkpointedAt is the time of the last checkpoint, or of the start of the run. It is used only in the
	// loop.
	checkpointedAt time.Time

	mutex  sync.Mutex
	text   scheduler.Text
	events int
	// newestAt is the time of the last batch in milliseconds.
	newestAt int64
}

// newRunProgress returns the progress of a run that continues the text.
func newRunProgress(text scheduler.Text) *runProgress {
	return &runProgress{checkpointedAt: time.Now(), text: scheduler.Text{
		// The full slice expressions force append to copy, because an earlier run may still append.
		Events: text.Events[:len(text.Events):len(text.Events)], Last: text.Last,
		Versions: text.Versions[:len(text.Versions):len(text.Versions)],
	}}
}

// add appends a batch and reports whether it continues the text.
func (p *runProgress) add(batch runner.Batch) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events += len(batch.Events)
	p.newestAt = nowMillis()
	if batch.First != p.text.Last+1 {
		return false
	}
	p.text.Events = append(p.text.Events, batch.Events...)
	p.text.Last += uint64(len(batch.Events))
	for _, version := range batch.Versions {
		p.text.AddVersion(version)
	}
	return true
}

// read returns the text so far, which must not be modified, and the number of events since the run began.
func (p *runProgress) read() (scheduler.Text, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.text, p.events
}

// observed returns the number of events since the run began and the time of that count. Events arrive in
// batches, so with the current time an engine would seem slow just before its next batch.
func (p *runProgress) observed(now int64) (at int64, events int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now-p.newestAt < progressMaxAge.Milliseconds() {
		return p.newestAt, p.events
	}
	return now, p.events
}

// checkpointedRun records up to which event a checkpoint holds the text of a task's run.
type checkpointedRun struct {
	task *scheduler.Task
	run  uint64
	last uint64
}

// checkpoint stores the texts of long runs in the ledger, so that the next leader can continue them. At
// most one commit is in progress.
func (l *leadership) checkpoint() {
	if l.checkpointing {
		return
	}
	checkpoints, runs := l.collectCheckpoints(time.Now())
	if len(runs) == 0 {
		return
	}
	l.checkpointing = true
	go func() {
		err := l.commitCheckpoints(checkpoints)
		l.loop.Submit(func() {
			l.checkpointing = false
			if err == nil {
				l.recordCheckpointed(runs)
			}
		})
	}()
}

// collectCheckpoints returns the events of all due runs since their last checkpoints.
func (l *leadership) collectCheckpoints(now time.Time) (map[string]*ledger.Checkpoint, []checkpointedRun) {
	checkpoints := map[string]*ledger.Checkpoint{}
	var runs []checkpointedRun
	size := 0
	for task, progress := range l.progress {
		if now.Sub(progress.checkpointedAt) < checkpointInterval || task.State != scheduler.Running || task.IsSpeculative() || size > maxCheckpointBytes {
			continue
		}
		text, _ := progress.read()
		after := min(l.checkpointed[task], text.Last)
		if text.Last < after+minCheckpointEvents {
			continue
		}
		progress.checkpointedAt = now
		added := text.Events[after:]
		for _, data := range added {
			size += len(data)
		}
		step := task.Step.ID
		if checkpoints[step] == nil {
			checkpoints[step] = &ledger.Checkpoint{Step: step}
		}
		checkpoints[step].Texts = append(checkpoints[step].Texts, ledger.Continuation{
			Sample: task.Sample.ID, After: after, Events: added, Versions: text.Versions,
		})
		runs = append(runs, checkpointedRun{task: task, run: task.Run, last: text.Last})
	}
	return checkpoints, runs
}

func (l *leadership) commitCheckpoints(checkpoints map[string]*ledger.Checkpoint) error {
	for step, checkpoint := range checkpoints {
		limited, cancel := context.WithTimeout(l.context, recordTimeout)
		_, err := l.replica.Execute(limited, ledger.Command{Checkpoint: checkpoint}.Encode())
		cancel()
		line := event.TextsCheckpointed.On(l.logger).Str("step", step).Uint("texts", uint64(len(checkpoint.Texts)))
		if err != nil {
			line.Err(err).Send()
			return err
		}
		line.Send()
	}
	return nil
}

// recordCheckpointed records the stored events. A text that was restarted meanwhile is stored from its
// beginning next time.
func (l *leadership) recordCheckpointed(runs []checkpointedRun) {
	l.metrics.checkpoints.WithLabelValues().Add(float64(len(runs)))
	for _, saved := range runs {
		if saved.task.Run == saved.run && saved.task.State == scheduler.Running {
			l.checkpointed[saved.task] = saved.last
		}
	}
}
