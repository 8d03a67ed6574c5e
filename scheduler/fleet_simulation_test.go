package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

// fleetSimulation simulates engines in virtual time, with trainers that ask for more than the
// engines can do. Each engine runs every sample at a constant pace.

const (
	fleetTickMillis     = 20
	fleetPace           = 50.0
	fleetIntervalMillis = 4000
	fleetDueMillis      = 7500
	fleetDeadlineMillis = 12000
	// fleetGraceMillis is how long after the due time a group still counts as in time.
	fleetGraceMillis    = 700
	fleetWantedFraction = 0.9
	// fleetScoringMillis is how long scoring and recording a text takes, and fleetTrainingMillis
	// how long a trainer still counts a step as open after it ended.
	fleetScoringMillis  = 100
	fleetTrainingMillis = 500
)

// trainerLoad describes the steps that a trainer submits at a load factor of 1.
type trainerLoad struct {
	name         string
	groups, size int
	events       float64
}

// trainerLoads is a mix of trainers; its steps are scaled to the capacity of the engines.
var trainerLoads = []trainerLoad{
	{name: "a", groups: 10, size: 16, events: 9.66},
	{name: "b", groups: 8, size: 16, events: 20.4},
	{name: "c", groups: 9, size: 16, events: 20.4},
	{name: "d", groups: 6, size: 16, events: 15.9},
}

// fleetSample is a sample with its true length, which the prediction approximates.
type fleetSample struct {
	length          int
	generatedEvents float64
}

type fleetGroup struct {
	unfinished  int
	completedAt int64
	// work is the slot time that the group takes at fleetPace, and predicted its prediction.
	work, predicted float64
}

type fleetStep struct {
	machine     *ledger.Machine
	entry       *ledger.Entry
	trainer     *fleetTrainer
	groups      map[string]*fleetGroup
	resubmitted map[string]bool
	wanted      int
	submittedAt int64
	ended       bool
	endedAt     int64
}

type fleetTrainer struct {
	load        trainerLoad
	steps       []*fleetStep
	carriedOver []string
	nextAt      int64
}

// scoringTask is a task with a complete text and the time at which its result is recorded.
type scoringTask struct {
	task *Task
	at   int64
}

// fleetSimulation holds the state of the simulation.
type fleetSimulation struct {
	t         testing.TB
	random    *rand.Rand
	scheduler *Scheduler
	backends  []directory.Backend
	paces     map[string]float64
	scoring   []scoringTask
	trainers  []*fleetTrainer
	samples   map[string]*fleetSample
	steps     map[string]*fleetStep
	now       int64
	// resubmits limits trainers to two open steps and has them resubmit incomplete groups.
	resubmits bool
	// servedMillis is the slot time that each trainer used, by interval, and idleMillis the slot
	// time that was free while samples waited.
	servedMillis []map[string]float64
	idleMillis   float64
	// byLatestStart disables the plan, so that samples start by latest start alone.
	byLatestStart bool
}

func newFleetSimulation(t testing.TB, seed int64, count, slots int, loadFactor float64, uneven bool) *fleetSimulation {
	f := &fleetSimulation{
		t: t, random: rand.New(rand.NewSource(seed)), scheduler: New(), backends: engines(count, slots, "a", "b", "c", "d"),
		samples: map[string]*fleetSample{}, steps: map[string]*fleetStep{},
	}
	perStep := 0.0
	for _, load := range trainerLoads {
		perStep += float64(load.groups*load.size) * load.events * fleetPace
	}
	f.paces = map[string]float64{}
	slowness := []float64{1}
	if uneven {
		slowness = []float64{0.55, 1.2, 1.2, 1.2}
	}
	for position, backend := range f.backends {
		f.paces[backend.ID] = fleetPace * slowness[position%len(slowness)]
	}
	scale := loadFactor * f.effectiveSlots() * fleetIntervalMillis / (perStep * fleetWantedFraction)
	for position, load := range trainerLoads {
		load.groups = max(int(float64(load.groups)*scale+0.5), 1)
		f.trainers = append(f.trainers, &fleetTrainer{load: load, nextAt: int64(position * 200)})
	}
	f.replaceScheduler()
	return f
}

// replaceScheduler replaces the scheduler by a new one that is restored from the ledger.
func (f *fleetSimulation) replaceScheduler() {
	f.scheduler, f.scoring = New(), nil
	f.scheduler.SyncEngines(f.now, f.backends, map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1})
	f.setPaces()
	for _, trainer := range f.trainers {
		for _, step := range trainer.steps {
			if step.ended {
				f.scheduler.RecordEndedStep(step.entry.Step)
				continue
			}
			f.scheduler.AddStep(step.entry)
		}
	}
}

func (f *fleetSimulation) setPaces() {
	for id, e := range f.scheduler.engines {
		e.pace = f.paces[id]
	}
	f.scheduler.updateReferencePaces()
}

// effectiveSlots returns the number of slots, weighted by the pace of their engines.
func (f *fleetSimulation) effectiveSlots() float64 {
	slots := 0.0
	for _, backend := range f.backends {
		slots += float64(backend.Slots) * fleetPace / f.paces[backend.ID]
	}
	return slots
}

// drawLength draws a sample's length.
func (f *fleetSimulation) drawLength(mean float64) int {
	const spread = 0.84
	drawn := mean / 1.9 * math.Exp(spread*f.random.NormFloat64())
	if f.random.Float64() < 0.08 {
		drawn *= 5
	}
	return int(min(max(drawn, 1), mean*7.2))
}

func (f *fleetSimulation) drawPrediction(length int) int {
	return max(int(float64(length)*math.Exp(0.5*f.random.NormFloat64())), 1)
}

func (f *fleetSimulation) simulate(until int64) {
	for ; f.now < until; f.now += fleetTickMillis {
		f.submitDueSteps()
		f.advanceEngines()
		f.recordScored()
		f.endSteps()
		f.assign()
	}
}

// removeEngines removes the first engines; their samples continue elsewhere.
func (f *fleetSimulation) removeEngines(count int) {
	f.backends = f.backends[count:]
	for _, task := range f.scheduler.SyncEngines(f.now, f.backends, nil) {
		f.scheduler.RunEnded(f.now, task, task.Run, Broken)
	}
	f.setPaces()
}

func (f *fleetSimulation) submitDueSteps() {
	for _, trainer := range f.trainers {
		if f.now < trainer.nextAt {
			continue
		}
		open := 0
		for _, step := range trainer.steps {
			if !step.ended || f.now < step.endedAt+fleetTrainingMillis {
				open++
			}
		}
		if f.resubmits && open >= 2 {
			continue
		}
		trainer.nextAt += fleetIntervalMillis
		f.submit(trainer)
	}
}

func (f *fleetSimulation) submit(trainer *fleetTrainer) {
	number := len(trainer.steps)
	id := fmt.Sprintf("%s-%d", trainer.load.name, number)
	step := &ledger.Step{
		ID: id, Model: trainer.load.name, OldestVersion: 1, Attempts: 3, Number: number, Host: trainer.load.name,
		SubmittedAt: f.now, DueAt: f.now + fleetDueMillis, GiveUpAt: f.now + 60000,
	}
	submitted := &fleetStep{trainer: trainer, groups: map[string]*fleetGroup{}, resubmitted: map[string]bool{}, submittedAt: f.now}
	names := trainer.carriedOver
	trainer.carriedOver = nil
	for len(names) < trainer.load.groups {
		names = append(names, fmt.Sprintf("%s-g%d", id, len(names)))
	}
	step.Wanted = int(math.Ceil(fleetWantedFraction * float64(len(names))))
	for position, name := range names {
		group := &fleetGroup{unfinished: trainer.load.size}
		submitted.groups[name] = group
		for member := range trainer.load.size {
			sample := fmt.Sprintf("%s/%d", name, member)
			if f.samples[sample] == nil {
				f.samples[sample] = &fleetSample{length: f.drawLength(trainer.load.events)}
			} else if position < len(names) {
				submitted.resubmitted[name] = true
			}
			group.work += float64(f.samples[sample].length) * fleetPace
			predicted := f.drawPrediction(f.samples[sample].length)
			group.predicted += float64(predicted) * fleetPace
			step.Samples = append(step.Samples, ledger.Sample{ID: sample, Group: name, Predicted: predicted})
		}
	}
	submitted.wanted = step.Wanted
	machine := ledger.NewMachine()
	machine.Apply(ledger.Command{Submit: step}.Encode())
	submitted.machine, submitted.entry = machine, machine.Step(id)
	trainer.steps = append(trainer.steps, submitted)
	f.steps[id] = submitted
	for _, task := range f.scheduler.AddStep(submitted.entry) {
		f.recordResult(task)
	}
}

// advanceEngines advances the running samples by one tick.
func (f *fleetSimulation) advanceEngines() {
	for _, e := range f.scheduler.sortedEngines {
		pace := e.pace
		if pace == 0 {
			pace = fleetPace
		}
		tasks := make([]*Task, 0, len(e.running))
		for task := range e.running {
			tasks = append(tasks, task)
		}
		slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.Sample.ID, b.Sample.ID) })
		for _, task := range tasks {
			f.advanceTask(task, fleetTickMillis/pace)
		}
	}
}

func (f *fleetSimulation) advanceTask(task *Task, events float64) {
	sample := f.samples[task.Sample.ID]
	interval := int(f.now / fleetIntervalMillis)
	for len(f.servedMillis) <= interval {
		f.servedMillis = append(f.servedMillis, map[string]float64{})
	}
	f.servedMillis[interval][task.Step.Model] += fleetTickMillis * fleetPace / f.paces[task.Engine]
	sample.generatedEvents += events
	for float64(task.Text.Last) < math.Floor(sample.generatedEvents) && task.Text.Last < uint64(sample.length) {
		task.Text.Events = append(task.Text.Events, "x")
		task.Text.Last++
		task.Text.AddVersion(1)
	}
	if task.Text.Last >= uint64(sample.length) {
		speculative := task.IsSpeculative()
		require.True(f.t, f.scheduler.RunEnded(f.now, task, task.Run, Complete))
		if !speculative {
			f.scoring = append(f.scoring, scoringTask{task: task, at: f.now + fleetScoringMillis})
		}
	}
}

// recordScored records the results of the texts that have been scored by now.
func (f *fleetSimulation) recordScored() {
	for len(f.scoring) > 0 && f.scoring[0].at <= f.now {
		task := f.scoring[0].task
		f.scoring = f.scoring[1:]
		if task.State == Scoring && f.scheduler.steps[task.Step.ID] != nil {
			f.recordResult(task)
		}
	}
}

func (f *fleetSimulation) recordResult(task *Task) {
	f.scheduler.Finish(task)
	step := f.steps[task.Step.ID]
	step.machine.Apply(ledger.Command{Record: &ledger.Record{Step: task.Step.ID, Results: []ledger.Result{
		{Sample: task.Sample.ID, State: ledger.Succeeded, Versions: []uint64{1}},
	}}}.Encode())
	group := step.groups[task.Sample.Group]
	group.unfinished--
	if group.unfinished == 0 {
		group.completedAt = f.now
	}
}

// endSteps ends the steps that are complete or past their deadline.
func (f *fleetSimulation) endSteps() {
	for _, trainer := range f.trainers {
		for _, step := range trainer.steps {
			if step.ended || !f.isOver(step) {
				continue
			}
			step.ended, step.endedAt = true, f.now
			f.scheduler.EndStep(step.entry.Step.ID)
			if f.resubmits {
				f.carryOver(step)
			}
		}
	}
}

func (f *fleetSimulation) isOver(step *fleetStep) bool {
	if f.now >= step.submittedAt+fleetDeadlineMillis {
		return true
	}
	complete := 0
	for name, group := range step.groups {
		if group.unfinished == 0 {
			complete++
		} else if step.resubmitted[name] {
			return false
		}
	}
	return complete >= step.wanted
}

func (f *fleetSimulation) carryOver(step *fleetStep) {
	var names []string
	for name, group := range step.groups {
		if group.unfinished > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	names = append(step.trainer.carriedOver, names...)
	step.trainer.carriedOver = names[:min(len(names), step.wanted/2)]
}

func (f *fleetSimulation) assign() {
	if f.byLatestStart {
		f.scheduler.plan.madeAt, f.scheduler.plan.stale = f.now, false
	}
	for _, assignment := range f.scheduler.Assign(f.now, anywhere) {
		f.samples[assignment.Task.Sample.ID].generatedEvents = float64(assignment.Task.Text.Last)
	}
	free, waiting := 0, 0
	for _, e := range f.scheduler.engines {
		free += max(e.freeSlots(), 0)
	}
	for _, task := range f.scheduler.waiting.tasks {
		if task.State == Waiting {
			waiting++
		}
	}
	f.idleMillis += float64(min(free, waiting)) * fleetTickMillis
}
