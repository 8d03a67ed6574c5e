package server

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dillchute/dillchute/directory"
)

// watchCounter counts the watches that are held.
type watchCounter struct {
	mutex sync.Mutex
	held  int
}

func (w *watchCounter) add(change int) {
	w.mutex.Lock()
	w.held += change
	w.mutex.Unlock()
}

// serveWatch answers with what changed after a revision, as soon as there is
// something. A replica that hears no leader answers nothing: it may be cut off.
func (d *Directory) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(response, "since: must be a number", http.StatusBadRequest)
		return
	}
	d.watches.add(1)
	defer d.watches.add(-1)
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
	for {
		changed := d.replica.Changed()
		var delta directory.Delta
		var revision uint64
		if !d.replica.Status().Heard || !d.replica.Do(func() {
			if revision = d.machine.Revision(); revision > since {
				delta = d.machine.DeltaSince(since)
			}
		}) {
			http.Error(response, "no leader is known", http.StatusServiceUnavailable)
			return
		}
		if revision > since {
			delta.Replicas = d.replica.Status().Members
			writeCBOR(response, delta)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout.C:
			if revision < since {
				http.Error(response, "this replica trails", http.StatusServiceUnavailable)
				return
			}
			writeCBOR(response, directory.Delta{
				Revision: since, Version: 0, Replicas: d.replica.Status().Members,
			})
			return
		}
	}
}
