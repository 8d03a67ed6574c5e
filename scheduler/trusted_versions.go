package scheduler

// What an engine states about its version may be damaged. A wrong version must neither become part of a result nor of
// what the scheduler knows of the engine, which it never lowers.

// VersionRange is the range of the versions under which a run has generated events. It is zero for a run without events.
type VersionRange struct {
	Oldest, Newest uint64
}

// Add extends the range by a version.
func (r *VersionRange) Add(version uint64) {
	if r.Oldest == 0 || version < r.Oldest {
		r.Oldest = version
	}
	r.Newest = max(r.Newest, version)
}

// TrustsRun reports whether the engine of the task's current run can have generated events under these versions: none
// that was neither named nor registered by any engine, and none older than the one that the engine had registered before
// the run, since an engine only moves to newer versions.
func (s *Scheduler) TrustsRun(task *Task, versions VersionRange) bool {
	if versions.Newest == 0 {
		return true
	}
	return versions.Oldest >= task.registeredVersion && versions.Newest <= s.highestVersion(task.Step.Model)
}

// highestVersion returns the highest version of the model that was named or that an engine has registered.
func (s *Scheduler) highestVersion(model string) uint64 {
	highest := s.registeredVersions[model]
	if m := s.models[model]; m != nil {
		highest = max(highest, m.newest)
	}
	return highest
}

// registeredVersion returns the version of the model that the engine has registered, or 0.
func (e *engine) registeredVersion(model string) uint64 {
	for _, held := range e.backend.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}
