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
	// checkpointInterval is how long a run lasts before its text is kept in the
	// ledger for the first time, and the least time between two checkpoints of it.
	checkpointInterval = time.Second
	// checkpointEvents is the least number of events that makes a checkpoint.
	checkpointEvents = 16
	// checkpointBytes bounds the texts in one commit.
	checkpointBytes = 512 << 10
)

// reportFreshness is how long the newest part of a run tells how far the run is: no news
// for longer than a runner's keepalive means that its engine stands still.
const reportFreshness = 250 * time.Millisecond

// runProgress is the text of a run under way. The run's goroutine extends it,
// and the loop reads it.
type runProgress struct {
	// checkpointedAt is when the text was last kept, or when the run began. It
	// belongs to the loop.
	checkpointedAt time.Time

	mutex  sync.Mutex
	text   scheduler.Text
	events int
	// newest is when the newest part came, in milliseconds.
	newest int64
}

// newRunProgress returns the progress of a run that continues the text.
func newRunProgress(text scheduler.Text) *runProgress {
	return &runProgress{checkpointedAt: time.Now(), text: scheduler.Text{
		// The full slice expressions force copies: an earlier run may still append.
		Events: text.Events[:len(text.Events):len(text.Events)], Last: text.Last,
		Versions: text.Versions[:len(text.Versions):len(text.Versions)],
	}}
}

// add takes in the next part, and tells whether it follows the one before.
func (p *runProgress) add(batch runner.Batch) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events += len(batch.Events)
	p.newest = nowMillis()
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

// read returns the text so far, which must not be changed, and the number of
// events since the run began.
func (p *runProgress) read() (scheduler.Text, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.text, p.events
}

// observed returns the number of events since the run began, and as of when: events come
// by reports, and an engine would look slow just before the next one.
func (p *runProgress) observed(now int64) (at int64, events int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now-p.newest < reportFreshness.Milliseconds() {
		return p.newest, p.events
	}
	return now, p.events
}

// checkpointedText says up to which event a task's text is kept in the ledger, and by
// which of its runs that was found out.
type checkpointedText struct {
	task *scheduler.Task
	run  uint64
	last uint64
}

// checkpoint keeps the texts of long runs in the ledger, so that the next leader
// goes on after them. One commit is under way at a time.
func (t *tenure) checkpoint() {
	if t.checkpointing {
		return
	}
	checkpoints, texts := t.collectCheckpoints(time.Now())
	if len(texts) == 0 {
		return
	}
	t.checkpointing = true
	go func() {
		err := t.commitCheckpoints(checkpoints)
		t.loop.Submit(func() {
			t.checkpointing = false
			if err == nil {
				t.noteCheckpointed(texts)
			}
		})
	}()
}

// collectCheckpoints returns what the runs that are due have produced since
// their last checkpoints.
func (t *tenure) collectCheckpoints(now time.Time) (map[string]*ledger.Checkpoint, []checkpointedText) {
	checkpoints := map[string]*ledger.Checkpoint{}
	var texts []checkpointedText
	bytes := 0
	for task, progress := range t.progress {
		if now.Sub(progress.checkpointedAt) < checkpointInterval || task.State != scheduler.Running || task.IsSpeculative() || bytes > checkpointBytes {
			continue
		}
		text, _ := progress.read()
		after := min(t.checkpointed[task], text.Last)
		if text.Last < after+checkpointEvents {
			continue
		}
		progress.checkpointedAt = now
		added := text.Events[after:]
		for _, data := range added {
			bytes += len(data)
		}
		step := task.Step.ID
		if checkpoints[step] == nil {
			checkpoints[step] = &ledger.Checkpoint{Step: step}
		}
		checkpoints[step].Texts = append(checkpoints[step].Texts, ledger.Continuation{
			Sample: task.Sample.ID, After: after, Events: added, Versions: text.Versions,
		})
		texts = append(texts, checkpointedText{task: task, run: task.Run, last: text.Last})
	}
	return checkpoints, texts
}

func (t *tenure) commitCheckpoints(checkpoints map[string]*ledger.Checkpoint) error {
	for step, checkpoint := range checkpoints {
		limited, cancel := context.WithTimeout(t.context, recordTimeout)
		_, err := t.replica.Execute(limited, ledger.Command{Checkpoint: checkpoint}.Encode())
		cancel()
		line := event.TextsCheckpointed.On(t.logger).Str("step", step).Uint("texts", uint64(len(checkpoint.Texts)))
		if err != nil {
			line.Err(err).Send()
			return err
		}
		line.Send()
	}
	return nil
}

// noteCheckpointed takes in what was kept. A text that has been begun anew meanwhile is
// kept from its beginning the next time.
func (t *tenure) noteCheckpointed(texts []checkpointedText) {
	t.metrics.checkpoints.WithLabelValues().Add(float64(len(texts)))
	for _, one := range texts {
		if one.task.Run == one.run && one.task.State == scheduler.Running {
			t.checkpointed[one.task] = one.last
		}
	}
}
