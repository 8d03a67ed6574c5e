package standin

import (
	"context"
	"fmt"
	"os"
	"time"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/client"
)

// Trainer is a process that submits steps, waits for all samples of each step, simulates training,
// and publishes new weight versions.
type Trainer struct {
	Controls  []string      `required:"" help:"Addresses of the control replicas."`
	Pool      string        `required:"" help:"Pool to take samples from."`
	Model     string        `required:"" help:"Model whose weights are published."`
	Samples   int           `default:"64" help:"Samples in a step."`
	MaxTokens uint32        `default:"256" help:"Largest length of a sample, in tokens."`
	Steps     uint64        `default:"5" help:"Steps to train."`
	Ahead     uint64        `default:"1" help:"Steps asked for before the current one is trained."`
	Train     time.Duration `default:"1s" help:"Time to train a step."`
	Staleness uint64        `default:"1" help:"The pool's staleness bound in versions, for the record."`
	Record    string        `required:"" help:"File to append the record to; a restarted trainer goes on from it."`

	recorder *Recorder
	client   *client.Client
	trainer  *client.Trainer
	// received counts the samples received for each step.
	received  map[uint64]int
	submitted uint64
	done      uint64
	published uint64
}

const fetchWait = 2 * time.Second

// Run trains all steps, or as many as it can until the context ends.
func (t *Trainer) Run(ctx context.Context) error {
	if err := t.restore(); err != nil {
		return err
	}
	recorder, err := NewRecorder(t.Record)
	if err != nil {
		return err
	}
	t.recorder = recorder
	t.recorder.Record(oracle.Event{Pool: &oracle.Pool{Name: t.Pool, Model: t.Model, MaxStalenessVersions: t.Staleness}})
	for step := t.done + 1; step <= t.Steps; step++ {
		if err := t.trainStep(ctx, step); err != nil {
			return err
		}
	}
	// A final fetch acknowledges the last samples.
	_, err = t.trainer.Fetch(ctx, t.published, 1, 0)
	return err
}

// restore restores the state that an earlier process of this trainer recorded.
func (t *Trainer) restore() error {
	t.client, t.received = client.New(t.Controls), map[uint64]int{}
	cursor := uint64(0)
	file, err := os.Open(t.Record)
	if err == nil {
		defer file.Close()
		events, err := oracle.Read(file)
		if err != nil {
			return err
		}
		for _, event := range events {
			switch {
			case event.Delivered != nil:
				cursor = event.Delivered.Number
				t.received[event.Delivered.Step]++
			case event.StepDone != nil:
				t.done = event.StepDone.Step
			case event.Published != nil:
				t.published = event.Published.Version
			}
		}
	}
	t.trainer = client.NewTrainer(t.client, t.Pool, uint64(time.Now().UnixNano()), cursor)
	return nil
}

func (t *Trainer) trainStep(ctx context.Context, step uint64) error {
	if t.published < step {
		if err := t.publish(ctx, step); err != nil {
			return err
		}
	}
	for t.submitted < min(step+t.Ahead, t.Steps) {
		if err := t.submit(ctx, max(t.submitted+1, step)); err != nil {
			return err
		}
	}
	waitStart := time.Now()
	for t.received[step] < t.Samples {
		if err := t.fetch(ctx); err != nil {
			return err
		}
	}
	waited := time.Since(waitStart)
	select {
	case <-time.After(t.Train):
	case <-ctx.Done():
		return ctx.Err()
	}
	t.done = step
	t.recorder.Record(oracle.Event{StepDone: &oracle.StepDone{
		Pool: t.Pool, Step: step, WaitMillis: waited.Milliseconds(), TrainMillis: t.Train.Milliseconds(),
	}})
	return nil
}

func (t *Trainer) publish(ctx context.Context, version uint64) error {
	response, err := t.client.PublishWeights(ctx, &dillchutev1.PublishWeightsRequest{Model: t.Model, Version: version})
	if err != nil {
		return err
	}
	t.published = response.NewestVersion
	t.recorder.Record(oracle.Event{Published: &oracle.Published{Model: t.Model, Version: version}})
	return nil
}

func (t *Trainer) submit(ctx context.Context, step uint64) error {
	request := &dillchutev1.SubmitStepRequest{Pool: t.Pool, Step: step}
	submitted := &oracle.Submitted{Pool: t.Pool, Step: step}
	for index := range uint32(t.Samples) {
		prompt := fmt.Sprintf("%s step %d sample %d", t.Pool, step, index)
		request.Samples = append(request.Samples, &dillchutev1.SamplePrompt{Index: index, Prompt: prompt, MaxTokens: t.MaxTokens})
		submitted.Prompts = append(submitted.Prompts, oracle.Prompt{Index: index, Prompt: prompt, MaxTokens: t.MaxTokens})
	}
	response, err := t.client.SubmitStep(ctx, request)
	if err != nil {
		return err
	}
	if !response.Accepted {
		return client.ErrRejected.New("step %d: %s", step, response.Reason)
	}
	t.recorder.Record(oracle.Event{Submitted: submitted})
	t.submitted = step
	return nil
}

func (t *Trainer) fetch(ctx context.Context) error {
	fetchedAt := time.Now().UnixMilli()
	response, err := t.trainer.Fetch(ctx, t.published, uint32(t.Samples), fetchWait)
	if err != nil {
		return err
	}
	for _, sample := range response.Samples {
		t.received[sample.Step]++
		t.recorder.Record(oracle.Event{Delivered: deliveredEvent(t.Pool, sample, fetchedAt)})
	}
	return nil
}

func deliveredEvent(pool string, sample *dillchutev1.Sample, fetchedAt int64) *oracle.Delivered {
	delivered := &oracle.Delivered{
		Pool: pool, Number: sample.Delivery, Step: sample.Step, Index: sample.Index,
		Tokens: sample.Tokens, FetchedAt: fetchedAt,
	}
	for _, segment := range sample.Segments {
		delivered.Segments = append(delivered.Segments, oracle.Segment{
			Version: segment.Version, First: segment.FirstToken, Count: segment.Count,
		})
	}
	return delivered
}
