package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/replica"
)

func collectReplica(emit chan<- prometheus.Metric, status *replica.Status) {
	gauge(emit, "replica_leading", "Whether this replica leads.", oneIf(status.Leading))
	gauge(emit, "replica_serving", "Whether this replica leads and has applied all that is committed.", oneIf(status.Serving))
	gauge(emit, "replica_leader_known", "Whether a leader is known.", oneIf(status.Heard))
	gauge(emit, "replica_term", "The replica's consensus term.", float64(status.Term))
	gauge(emit, "replica_commit_index", "The last committed log index.", float64(status.Commit))
	gauge(emit, "replica_log_entries", "Log entries since the newest snapshot.", float64(status.LogSize))
	gauge(emit, "replica_members", "Members of the group.", float64(len(status.Members)))
}

func (d *Directory) collect(emit chan<- prometheus.Metric) {
	collectReplica(emit, d.replica.Status())
	collectTransport(emit, d.replica.Counts())
	gauge(emit, "directory_watches", "Watches that are held.", float64(d.watches.count()))
}

func (w *watchCounter) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.held
}

func (l *Ledger) collect(emit chan<- prometheus.Metric) {
	l.watcher.collect(emit)
	if status := l.Status(); status != nil {
		collectReplica(emit, status)
		collectTransport(emit, l.replica.Counts())
	}
}

func (g *Gateway) collect(emit chan<- prometheus.Metric) {
	g.watcher.collect(emit)
	gauge(emit, "gateway_ready", "Whether the gateway takes new connections.", oneIf(g.Ready()))
	gauge(emit, "gateway_in_flight", "Requests that have not ended.", float64(g.InFlight()))
}

func (w *Watcher) collect(emit chan<- prometheus.Metric) {
	catalog := w.Catalog()
	gauge(emit, "configuration_version", "The configuration that this process follows.", float64(catalog.Version))
	gauge(emit, "directory_revision", "The directory's revision that this process knows.", float64(catalog.Revision))
	gauge(emit, "directory_age_seconds", "Time since the directory last answered.", w.ageSeconds())
}
