package hollow

import (
	"context"
	"strings"
	"sync"
	"time"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/bench/fleet"
	"github.com/dillchute/dillchute/client"
)

// idle measures what leases, summaries and reads cost when nothing changes.
func (r *Run) idle(ctx context.Context) error {
	measured, err := r.during(ctx, func(ctx context.Context) error { return pause(ctx, r.config.Phase) })
	r.report.Idle = measured
	r.say("idle: %s", measured)
	return err
}

// changes measures the time from the answer to a change until all nodes act on it.
func (r *Run) changes(ctx context.Context) error {
	var times []int64
	measured, err := r.during(ctx, func(ctx context.Context) error {
		every := time.Duration(float64(time.Second) / r.config.ChangesPerSecond)
		for number := 1; number <= int(r.config.Phase/every); number++ {
			began := time.Now()
			if err := r.apply(ctx, number); err != nil {
				return err
			}
			if err := r.awaitInForce(ctx); err != nil {
				return err
			}
			times = append(times, time.Since(began).Milliseconds())
			if err := pause(ctx, every-time.Since(began)); err != nil {
				return err
			}
		}
		return nil
	})
	r.report.Changes, r.report.ChangeMillis = measured, spreadOf(times)
	r.say("changes: %s; in force on all nodes after %s", measured, r.report.ChangeMillis)
	return err
}

func (r *Run) awaitInForce(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for r.behind() > 0 {
		if err := pause(limited, pollInterval); err != nil {
			return ErrFailed.New("%d nodes are behind", r.behind())
		}
	}
	return nil
}

// weights measures the time from a publication until all engines have loaded it.
func (r *Run) weights(ctx context.Context) error {
	for version := uint64(1); version <= 2; version++ {
		before := r.shared.loaded.Load()
		began := time.Now()
		if _, err := r.client.PublishWeights(ctx, &dillchutev1.PublishWeightsRequest{Model: hollowModel, Version: version}); err != nil {
			return err
		}
		for r.shared.loaded.Load()-before < uint64(r.config.Workers) {
			if time.Since(began) > settleLimit {
				return ErrFailed.New("%d of %d engines loaded version %d", r.shared.loaded.Load()-before, r.config.Workers, version)
			}
			if err := pause(ctx, pollInterval); err != nil {
				return err
			}
		}
		// The last loads have been ordered; each takes the load time.
		if err := pause(ctx, r.config.Load); err != nil {
			return err
		}
		r.report.WeightsMillis = append(r.report.WeightsMillis, time.Since(began).Milliseconds())
	}
	r.say("weights on all workers after %v ms, with %s for a load", r.report.WeightsMillis, r.config.Load)
	return nil
}

// restarts kills nodes and measures the time until the replacement of each
// acts on the newest declaration and owns engines again.
func (r *Run) restarts(ctx context.Context) error {
	var times []int64
	for number := range min(restartedNodes, len(r.nodes)) {
		r.nodes[number].kill()
		began := time.Now()
		started, err := r.startAgain(r.nodes[number])
		if err != nil {
			return err
		}
		r.nodes[number] = started
		if err := r.awaitInForce(ctx); err != nil {
			return err
		}
		times = append(times, time.Since(began).Milliseconds())
	}
	r.report.RestartMillis = spreadOf(times)
	r.say("restarted nodes act again after %s", r.report.RestartMillis)
	return nil
}

// loseZone kills all nodes and engines of one zone, and measures the time until
// control has taken the nodes out and the platform's list rules again: every
// engine that is left has an owner. Then the zone comes back.
func (r *Run) loseZone(ctx context.Context) error {
	lost, _ := r.zone(0)
	kept, gone := r.splitEngines(lost)
	killed := r.killZone(lost)
	began := time.Now()
	r.setListed(kept)
	if err := r.awaitOwners(ctx, len(r.nodes), len(kept)); err != nil {
		return err
	}
	r.report.ZoneLossMillis = time.Since(began).Milliseconds()
	began = time.Now()
	r.setListed(append(kept, gone...))
	for _, ended := range killed {
		started, err := r.startAgain(ended)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, started)
	}
	if err := r.awaitOwners(ctx, len(r.nodes), len(kept)+len(gone)); err != nil {
		return err
	}
	r.report.ZoneReturnMillis = time.Since(began).Milliseconds()
	r.say("a zone of %d nodes and %d engines: owners settled %d ms after its loss, %d ms after its return",
		len(killed), len(gone), r.report.ZoneLossMillis, r.report.ZoneReturnMillis)
	return nil
}

// killZone kills the zone's nodes, takes them out of the run and returns them.
func (r *Run) killZone(zone string) (killed []*hollowNode) {
	var left []*hollowNode
	for _, running := range r.nodes {
		if running.zone != zone {
			left = append(left, running)
			continue
		}
		running.kill()
		killed = append(killed, running)
	}
	r.nodes = left
	return killed
}

// startAgain starts the replacement of a node that was killed.
func (r *Run) startAgain(ended *hollowNode) (*hollowNode, error) {
	started, err := startNode(ended.id, ended.zone, ended.region, r.controls.Addresses(), r.shared)
	if err != nil {
		return nil, ErrFailed.Wrap(err, "start a node again")
	}
	return started, nil
}

// splitEngines returns the listed engines outside and inside the zone.
func (r *Run) splitEngines(zone string) (outside, inside []fleet.ListedEngine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, engine := range r.listed {
		if engine.Zone == zone {
			inside = append(inside, engine)
		} else {
			outside = append(outside, engine)
		}
	}
	return outside, inside
}

func (r *Run) setListed(listed []fleet.ListedEngine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listed = listed
}

// samples submits a step for each trainer and fetches all results.
func (r *Run) samples(ctx context.Context) error {
	var trainers sync.WaitGroup
	failures := make(chan error, r.config.Trainers)
	measured, _ := r.during(ctx, func(ctx context.Context) error {
		for pool := range r.config.Trainers {
			trainers.Go(func() { failures <- r.train(ctx, poolName(pool)) })
		}
		trainers.Wait()
		return nil
	})
	for range r.config.Trainers {
		if err := <-failures; err != nil {
			return err
		}
	}
	r.report.Samples = measured
	r.report.SampleCount = r.config.Trainers * r.config.Samples
	r.report.SampleTokens = int(r.config.SampleTokens)
	r.say("samples: %d of %d tokens whole after %.1f s: %s", r.report.SampleCount, r.config.SampleTokens, measured.Seconds, measured)
	return nil
}

func (r *Run) train(ctx context.Context, pool string) error {
	limited, cancel := context.WithTimeout(ctx, 2*settleLimit)
	defer cancel()
	request := &dillchutev1.SubmitStepRequest{Pool: pool, Step: 1}
	for index := range uint32(r.config.Samples) {
		request.Samples = append(request.Samples, &dillchutev1.SamplePrompt{
			Index: index, Prompt: strings.Repeat("p", 200), MaxTokens: r.config.SampleTokens,
		})
	}
	own := client.New(r.controls.Addresses())
	if _, err := own.SubmitStep(limited, request); err != nil {
		return err
	}
	trainer := client.NewTrainer(own, pool, 1, 0)
	for got := 0; got < r.config.Samples; {
		response, err := trainer.Fetch(limited, 0, 256, time.Second)
		if err != nil {
			return err
		}
		got += len(response.Samples)
	}
	return nil
}
