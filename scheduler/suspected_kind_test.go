package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSuspectedKindRunsOneAtATime checks that samples of a suspected kind run one at a time until
// the suspicion ends, and that other samples are not delayed.
func TestSuspectedKindRunsOneAtATime(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(4, 4, "m"), map[string]uint64{"m": 1})
	step := newEntry("x", "m", 1, 8)
	for position := range step.Step.Samples {
		if position < 4 {
			step.Step.Samples[position].Path = "/crashing"
		}
	}
	s.AddStep(step)
	suspected := true
	servicesOf := func(task *Task) ([]string, bool) {
		task.KindSuspected = suspected && task.Sample.Path == "/crashing"
		return []string{"engines"}, true
	}
	split := func(assignments []Assignment) (crashing, others []Assignment) {
		for _, assignment := range assignments {
			if assignment.Task.Sample.Path == "/crashing" {
				crashing = append(crashing, assignment)
				continue
			}
			others = append(others, assignment)
		}
		return crashing, others
	}
	crashing, others := split(s.Assign(0, servicesOf))
	require.Len(t, crashing, 1)
	require.Len(t, others, 4)
	require.Empty(t, s.Assign(1, servicesOf))
	s.RunEnded(2, crashing[0].Task, crashing[0].Run, Crashed)
	crashing, _ = split(s.Assign(3, servicesOf))
	require.Len(t, crashing, 1)
	suspected = false
	crashing, _ = split(s.Assign(4, servicesOf))
	require.Len(t, crashing, 3)
}
