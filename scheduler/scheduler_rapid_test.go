package scheduler

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

// schedulerHarness submits and resubmits steps, ends runs, changes engines and blocks samples in any
// order, and tracks the running tasks independently of the scheduler.
type schedulerHarness struct {
	t           *rapid.T
	scheduler   *Scheduler
	now         int64
	slots       int
	engineCount int
	stepCount   int
	openSteps   map[string]bool
	running     map[*Task]Assignment
	// baseNames maps step IDs to the base name that the step's sample IDs share with resubmissions.
	baseNames   map[string]string
	quarantined map[string]bool
}

// cooldownMillis is longer than any backoff of an engine.
const cooldownMillis = 10 * maxFailureBackoffMillis

func newSchedulerHarness(t *rapid.T) *schedulerHarness {
	h := &schedulerHarness{
		t: t, scheduler: New(), slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		openSteps: map[string]bool{}, running: map[*Task]Assignment{}, baseNames: map[string]string{}, quarantined: map[string]bool{},
	}
	h.changeEngines()
	return h
}

// changeEngines replaces the registered engines and ends the runs on removed ones.
func (h *schedulerHarness) changeEngines() {
	all := engines(4, h.slots, "m")
	present := all[:0]
	for _, backend := range all {
		if rapid.Bool().Draw(h.t, backend.ID) {
			present = append(present, backend)
		}
	}
	h.scheduler.SyncEngines(h.now, present, map[string]uint64{"m": 1})
	h.engineCount = len(present)
	for task, assignment := range h.running {
		removed := true
		for _, backend := range present {
			removed = removed && backend.ID != assignment.Backend.ID
		}
		if removed {
			h.scheduler.RunEnded(h.now, task, assignment.Run, Crashed)
			delete(h.running, task)
		}
	}
}

// submit adds a step with samples, which may be resubmissions.
func (h *schedulerHarness) submit() {
	id := fmt.Sprint("step-", rapid.IntRange(0, 3).Draw(h.t, "step"))
	if h.openSteps[id] {
		return
	}
	h.stepCount++
	entry := newEntry(fmt.Sprint(id, "-", h.stepCount), "m", 1, rapid.IntRange(1, 6).Draw(h.t, "samples"))
	for position := range entry.Step.Samples {
		sample := &entry.Step.Samples[position]
		sample.ID, sample.Path = fmt.Sprint(id, "-", position), fmt.Sprint("/", position%2)
	}
	h.openSteps[id], h.baseNames[entry.Step.ID] = true, id
	h.scheduler.AddStep(entry)
}

func (h *schedulerHarness) servicesOf(task *Task) ([]string, bool) {
	return []string{"engines"}, !h.quarantined[task.Sample.ID]
}

// endRun ends one of the runs.
func (h *schedulerHarness) endRun() {
	end := rapid.SampledFrom([]RunEnd{Complete, Broken, Rejected, Unreachable, Failed, Interrupted, Crashed}).Draw(h.t, "end")
	tasks := slices.SortedFunc(maps.Keys(h.running), func(a, b *Task) int {
		return cmp.Compare(a.Step.ID+a.Sample.ID, b.Step.ID+b.Sample.ID)
	})
	if len(tasks) == 0 {
		return
	}
	task := rapid.SampledFrom(tasks).Draw(h.t, "task")
	h.scheduler.RunEnded(h.now, task, task.Run, end)
	delete(h.running, task)
	if task.State == Scoring {
		h.scheduler.Finish(task)
	}
}

// closeStep ends an open step and its runs.
func (h *schedulerHarness) closeStep() {
	ids := h.scheduler.StepIDs()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(h.t, "open step")
	h.scheduler.EndStep(id)
	maps.DeleteFunc(h.running, func(task *Task, _ Assignment) bool { return task.Step.ID == id })
	delete(h.openSteps, h.baseNames[id])
}

func (h *schedulerHarness) toggleQuarantined() {
	id := fmt.Sprint("step-", rapid.IntRange(0, 3).Draw(h.t, "step"), "-", rapid.IntRange(0, 5).Draw(h.t, "sample"))
	h.quarantined[id] = !h.quarantined[id]
}

// assign starts waiting tasks and checks that no other task could start.
func (h *schedulerHarness) assign() {
	h.now += cooldownMillis
	for _, assignment := range h.scheduler.Assign(h.now, h.servicesOf) {
		h.running[assignment.Task] = assignment
	}
	perEngine := map[string]int{}
	for task, assignment := range h.running {
		perEngine[assignment.Backend.ID]++
		require.False(h.t, task.Run == assignment.Run && task.State != Running)
	}
	free := h.slots*h.engineCount - len(h.running)
	for id, count := range perEngine {
		require.LessOrEqual(h.t, count, h.slots, id)
	}
	for _, state := range h.scheduler.steps {
		for _, task := range state.tasks {
			if task.State != Waiting || h.quarantined[task.Sample.ID] {
				continue
			}
			require.Zero(h.t, free, "%s waits although a slot is free", task.Sample.ID)
		}
	}
}

// minCases is the minimum number of cases to draw.
const minCases = 10_000

// TestNoSampleWaitsWhileSlotIsFree checks that, after any history, also of crashed engines, every sample that
// is not held back runs if there is a free slot.
func TestNoSampleWaitsWhileSlotIsFree(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	original := checks.Value.String()
	if count, err := strconv.Atoi(original); err == nil && count < minCases {
		require.NoError(t, checks.Value.Set(strconv.Itoa(minCases)))
	}
	defer func() { require.NoError(t, checks.Value.Set(original)) }()
	rapid.Check(t, func(t *rapid.T) {
		h := newSchedulerHarness(t)
		actions := map[string]func(){
			"submit": h.submit, "assign": h.assign, "end": h.endRun, "hold": h.toggleQuarantined, "engines": h.changeEngines, "close": h.closeStep,
		}
		weighted := []string{"submit", "submit", "assign", "assign", "assign", "end", "end", "end", "hold", "engines", "close"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			actions[rapid.SampledFrom(weighted).Draw(t, "action")]()
		}
	})
}
