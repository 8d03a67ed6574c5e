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

// waitingWorld has steps come and come again, runs end, engines go and samples be held back in any
// order, and counts runs by itself.
type waitingWorld struct {
	t         *rapid.T
	scheduler *Scheduler
	now       int64
	slots     int
	engines   int
	steps     int
	open      map[string]bool
	running   map[*Task]Assignment
	// nameOf holds the names of steps, under whose samples' IDs they come again.
	nameOf    map[string]string
	held      map[string]bool
	suspected map[string]bool
}

// calm is longer than any engine is avoided after its runs have failed.
const calm = 10 * maxFailureBackoffMillis

func newWaitingWorld(t *rapid.T) *waitingWorld {
	w := &waitingWorld{
		t: t, scheduler: New(), slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		open: map[string]bool{}, running: map[*Task]Assignment{}, nameOf: map[string]string{}, held: map[string]bool{}, suspected: map[string]bool{},
	}
	w.changeEngines()
	return w
}

// changeEngines has other engines registered; runs on those that are gone end.
func (w *waitingWorld) changeEngines() {
	all := engines(4, w.slots, "m")
	kept := all[:0]
	for _, backend := range all {
		if rapid.Bool().Draw(w.t, backend.ID) {
			kept = append(kept, backend)
		}
	}
	w.scheduler.SyncEngines(w.now, kept, map[string]uint64{"m": 1})
	w.engines = len(kept)
	for task, assignment := range w.running {
		gone := true
		for _, backend := range kept {
			gone = gone && backend.ID != assignment.Backend.ID
		}
		if gone {
			w.scheduler.RunEnded(w.now, task, assignment.Run, Crashed)
			delete(w.running, task)
		}
	}
}

// submit hands in a step of samples of two kinds, which may have come before.
func (w *waitingWorld) submit() {
	id := fmt.Sprint("step-", rapid.IntRange(0, 3).Draw(w.t, "step"))
	if w.open[id] {
		return
	}
	w.steps++
	entry := entry(fmt.Sprint(id, "-", w.steps), "m", 1, rapid.IntRange(1, 6).Draw(w.t, "samples"))
	for position := range entry.Step.Samples {
		sample := &entry.Step.Samples[position]
		sample.ID, sample.Path = fmt.Sprint(id, "-", position), fmt.Sprint("/", position%2)
	}
	w.open[id], w.nameOf[entry.Step.ID] = true, id
	w.scheduler.AddStep(entry)
}

func (w *waitingWorld) servicesOf(task *Task) ([]string, bool) {
	task.KindSuspected = w.suspected[task.Sample.Path]
	return []string{"engines"}, !w.held[task.Sample.ID]
}

// endRun ends the run of one of the tasks that run.
func (w *waitingWorld) endRun() {
	end := rapid.SampledFrom([]RunEnd{Complete, Broken, Rejected, Unreachable, Failed, Interrupted, Crashed}).Draw(w.t, "end")
	tasks := slices.SortedFunc(maps.Keys(w.running), func(a, b *Task) int {
		return cmp.Compare(a.Step.ID+a.Sample.ID, b.Step.ID+b.Sample.ID)
	})
	if len(tasks) == 0 {
		return
	}
	task := rapid.SampledFrom(tasks).Draw(w.t, "task")
	w.scheduler.RunEnded(w.now, task, task.Run, end)
	delete(w.running, task)
	if task.State == Scoring {
		w.scheduler.Finish(task)
	}
}

// closeStep ends an open step and has what runs of it end.
func (w *waitingWorld) closeStep() {
	ids := w.scheduler.StepIDs()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(w.t, "open step")
	w.scheduler.EndStep(id)
	maps.DeleteFunc(w.running, func(task *Task, _ Assignment) bool { return task.Step.ID == id })
	delete(w.open, w.nameOf[id])
}

func (w *waitingWorld) hold() {
	id := fmt.Sprint("step-", rapid.IntRange(0, 3).Draw(w.t, "step"), "-", rapid.IntRange(0, 5).Draw(w.t, "sample"))
	w.held[id] = !w.held[id]
}

func (w *waitingWorld) suspect() {
	path := fmt.Sprint("/", rapid.IntRange(0, 1).Draw(w.t, "kind"))
	w.suspected[path] = !w.suspected[path]
}

// assign starts what can be started, and checks that nothing else could.
func (w *waitingWorld) assign() {
	w.now += calm
	for _, assignment := range w.scheduler.Assign(w.now, w.servicesOf) {
		w.running[assignment.Task] = assignment
	}
	perEngine, tried := map[string]int{}, map[string]int{}
	for task, assignment := range w.running {
		perEngine[assignment.Backend.ID]++
		if task.KindSuspected {
			tried[task.Sample.Path]++
		}
		require.False(w.t, task.Run == assignment.Run && task.State != Running)
	}
	free := w.slots*w.engines - len(w.running)
	for id, count := range perEngine {
		require.LessOrEqual(w.t, count, w.slots, id)
	}
	for _, state := range w.scheduler.steps {
		for _, task := range state.tasks {
			if task.State != Waiting || w.held[task.Sample.ID] || w.suspected[task.Sample.Path] && tried[task.Sample.Path] > 0 {
				continue
			}
			require.Zero(w.t, free, "%s waits beside room", task.Sample.ID)
		}
	}
}

// waitingCases is how many cases are drawn at the least.
const waitingCases = 10_000

// TestNothingWaitsBesideRoom: whatever came before, a sample that is not held back, and whose kind
// is not tried just now, runs once there is room.
func TestNothingWaitsBesideRoom(t *testing.T) {
	cases := flag.Lookup("rapid.checks")
	given := cases.Value.String()
	if asked, err := strconv.Atoi(given); err == nil && asked < waitingCases {
		require.NoError(t, cases.Value.Set(strconv.Itoa(waitingCases)))
	}
	defer func() { require.NoError(t, cases.Value.Set(given)) }()
	rapid.Check(t, func(t *rapid.T) {
		w := newWaitingWorld(t)
		actions := map[string]func(){
			"submit": w.submit, "assign": w.assign, "end": w.endRun, "hold": w.hold, "suspect": w.suspect, "engines": w.changeEngines, "close": w.closeStep,
		}
		often := []string{"submit", "submit", "assign", "assign", "assign", "end", "end", "end", "hold", "suspect", "engines", "close"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			actions[rapid.SampledFrom(often).Draw(t, "action")]()
		}
	})
}
