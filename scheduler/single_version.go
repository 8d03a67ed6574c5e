package scheduler

import "slices"

// A text of a single-version step can be continued only under its version. Engines only move to newer versions, so the
// engines that hold it become fewer, and in the end there is none. A task therefore waits for one of them for a limited
// time, and then starts over under another version that its step allows.

// maxVersionWaitMillis is the maximum time that a task waits for an engine with its text's version while another engine
// could start it over. It is short compared to the time within which a step is due.
const maxVersionWaitMillis = 2000

// requiredVersion returns the only version under which the task's text can be continued, or 0 if there is no such limit.
func (task *Task) requiredVersion() uint64 {
	if !task.Step.SingleVersion || len(task.Text.Versions) == 0 {
		return 0
	}
	return task.Text.Versions[0]
}

// discardStranded discards the task's text if no engine will continue it, or not soon. The task then starts over.
func (s *Scheduler) discardStranded(now int64, task *Task, services []string) {
	version := task.requiredVersion()
	if version == 0 {
		return
	}
	if s.mayHold(task, services, version) && !s.hasWaitedForVersion(now, task, services) {
		return
	}
	s.restart(task)
}

// mayHold reports whether an engine of the services holds the version and stays with it for now, or may still load it.
func (s *Scheduler) mayHold(task *Task, services []string, version uint64) bool {
	name := task.Step.Model
	if version >= s.model(name).newest {
		return true
	}
	return slices.ContainsFunc(s.sortedEngines, func(e *engine) bool {
		return !e.backend.Draining && slices.Contains(services, e.backend.Service) && e.versions[name] == version && !e.isLoading(name)
	})
}

// hasWaitedForVersion reports whether the task has waited for as long as its text takes to be generated again, or for
// maxVersionWaitMillis, and now only engines are free that would have to start it over. The wait goes on through runs
// that add nothing to the text, since an engine that has gone dark may look free again and again.
func (s *Scheduler) hasWaitedForVersion(now int64, task *Task, services []string) bool {
	canStartOver := false
	for _, e := range s.freeEngines {
		if !s.canStart(now, e, task, services) {
			continue
		}
		if e.canContinue(task) {
			return false
		}
		canStartOver = true
	}
	if !canStartOver {
		return false
	}
	if task.versionWaitSince == 0 {
		task.versionWaitSince = now
	}
	limit := min(float64(task.Text.Last)*s.paceOrDefault(), maxVersionWaitMillis)
	return float64(now-task.versionWaitSince) >= limit
}

// canTakeOver reports whether the engine's version may continue what the task's current run generates.
func (s *Scheduler) canTakeOver(e *engine, task *Task) bool {
	name := task.Step.Model
	return !task.Step.SingleVersion || e.versions[name] == s.engines[task.Engine].versions[name]
}
