package scheduler

import "testing"

// newOverloadedScheduler returns a scheduler of 48 engines with four times the work that they can
// do.
func newOverloadedScheduler(b *testing.B) *Scheduler {
	f := newFleetSimulation(b, 1, 48, 6, 4, false)
	f.simulate(6000)
	return f.scheduler
}

// BenchmarkPlan measures planGroups with thousands of waiting samples.
func BenchmarkPlan(b *testing.B) {
	s := newOverloadedScheduler(b)
	for b.Loop() {
		s.plan.stale = true
		s.planGroups(6000, 0)
	}
	b.ReportMetric(float64(len(s.waiting.tasks)), "waiting")
}

// BenchmarkAssignUnderOverload measures Assign between two plans when no task can start.
func BenchmarkAssignUnderOverload(b *testing.B) {
	s := newOverloadedScheduler(b)
	for b.Loop() {
		s.plan.madeAt, s.plan.stale = 6000, false
		s.Assign(6000, func(*Task) ([]string, bool) { return nil, false })
	}
}
