package server

// copyIsCurrent reports whether the copy of the directory is fresh enough to start runs. If it is stale,
// the loop is woken once it has been refreshed. A leader that cannot reach the directory continues with its
// copy; its runs may be repeated.
func (l *leadership) copyIsCurrent(now int64) bool {
	switch l.watcher.age.state(now) {
	case copyStale:
		l.wakeAfterRefresh(l.watcher.startRefresh())
		return false
	case copyAging, copyUnreachable:
		l.watcher.refreshInBackground()
	}
	// A newer catalog must be applied by the loop first.
	return l.catalog == l.watcher.Catalog()
}

// wakeAfterRefresh wakes the loop when the refresh has ended.
func (l *leadership) wakeAfterRefresh(refresh *copyRefresh) {
	if l.pendingRefresh == refresh {
		return
	}
	l.pendingRefresh = refresh
	go func() {
		<-refresh.done
		l.loop.Submit(func() { l.pendingRefresh = nil })
	}()
}
