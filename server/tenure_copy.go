package server

// copyIsCurrent reports whether the copy of the directory is fresh enough to start runs. If it is too old,
// the loop is woken once the directory has answered. A leader that cannot reach the directory continues
// with its copy; its runs may be repeated.
func (t *leadership) copyIsCurrent(now int64) bool {
	switch t.watcher.age.state(now) {
	case copyStale:
		t.awaitQuestion(t.watcher.startRefresh())
		return false
	case copyAging, copyUnreachable:
		t.watcher.refreshInBackground()
	}
	// A newer catalog must be applied by the loop first.
	return t.catalog == t.watcher.Catalog()
}

// awaitQuestion wakes the loop when the question has ended.
func (t *leadership) awaitQuestion(asked *copyRefresh) {
	if t.awaited == asked {
		return
	}
	t.awaited = asked
	go func() {
		<-asked.done
		t.loop.Submit(func() { t.awaited = nil })
	}()
}
