package server

// copyIsCurrent tells whether runs may begin by the copy of the directory. One that is too old is
// asked for, and the loop looks again after that. A leader that is out of touch goes on by what it
// knows: its runs may be repeated.
func (t *tenure) copyIsCurrent(now int64) bool {
	switch t.watcher.age.state(now) {
	case copyStale:
		t.awaitQuestion(t.watcher.startRefresh())
		return false
	case copyAging, copyUnreachable:
		t.watcher.refreshInBackground()
	}
	// What an answer has brought is taken in by the loop.
	return t.catalog == t.watcher.Catalog()
}

// awaitQuestion has the loop look again when the question has ended.
func (t *tenure) awaitQuestion(asked *copyRefresh) {
	if t.awaited == asked {
		return
	}
	t.awaited = asked
	go func() {
		<-asked.done
		t.loop.Submit(func() { t.awaited = nil })
	}()
}
