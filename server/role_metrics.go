package server

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/replica"
)

// latencyBuckets are histogram buckets in seconds, for calls and requests.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dillchute_" + name, Help: help}, labels)
}

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "dillchute_" + name, Help: help, Buckets: latencyBuckets,
	}, labels)
}

// gatewayMetrics holds a gateway's counters and histograms. The number of label values does not depend on
// the configuration.
type gatewayMetrics struct {
	requests, attempts, steps *prometheus.CounterVec
	latency                   *prometheus.HistogramVec
}

func newGatewayMetrics() gatewayMetrics {
	return gatewayMetrics{
		requests: newCounter("gateway_requests_total", "Requests passed to backends, by outcome.", "outcome"),
		attempts: newCounter("gateway_attempts_total", "Backends that requests were sent to."),
		steps:    newCounter("gateway_steps_total", "Steps handed to the ledger, by outcome.", "outcome"),
		latency:  newHistogram("gateway_request_seconds", "Time to a request's end, by outcome.", "outcome"),
	}
}

func (m gatewayMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.attempts, m.steps, m.latency}
}

// recordRequest records a finished request.
func (m gatewayMetrics) recordRequest(result forward.Result, latency time.Duration) {
	outcome := string(result.Reason)
	if result.Response != nil {
		outcome = fmt.Sprintf("answered_%dxx", result.Response.Status/statusClass)
	}
	m.requests.WithLabelValues(outcome).Inc()
	m.attempts.WithLabelValues().Add(float64(result.Attempts))
	m.latency.WithLabelValues(outcome).Observe(latency.Seconds())
}

// statusClass is the number of status codes in a class such as 2xx.
const statusClass = 100

// ledgerMetrics holds the counters and histograms of a store's executor.
type ledgerMetrics struct {
	runs, events, samples, orders, checkpoints *prometheus.CounterVec
	loads, records, run, steps                 *prometheus.HistogramVec
}

func newLedgerMetrics() ledgerMetrics {
	return ledgerMetrics{
		runs:        newCounter("ledger_runs_total", "Runs of samples on engines, by their end (see event 6005).", "end"),
		events:      newCounter("ledger_run_events_total", "Events of runs that this leader has taken in."),
		samples:     newCounter("ledger_samples_total", "Samples with a result, by state.", "state"),
		orders:      newCounter("ledger_orders_total", "Orders to engines, by answer (see event 6008).", "answer"),
		checkpoints: newCounter("ledger_checkpoints_total", "Texts of runs under way that were kept."),
		loads:       newHistogram("ledger_load_seconds", "Time from an order to the end of its load, by outcome.", "outcome"),
		records:     newHistogram("ledger_record_seconds", "Time to commit results, by outcome.", "outcome"),
		run:         newHistogram("ledger_run_seconds", "Time of a run on an engine."),
		steps:       newHistogram("ledger_step_seconds", "Time from taking a step in to the whole groups that its trainer waits for."),
	}
}

func (m ledgerMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.runs, m.events, m.samples, m.orders, m.checkpoints, m.loads, m.records, m.run, m.steps}
}

// directoryMetrics holds the counters and histograms of a directory replica.
type directoryMetrics struct {
	calls                                   *prometheus.HistogramVec
	usageReports, orders, invalidHeartbeats *prometheus.CounterVec
}

func newDirectoryMetrics() directoryMetrics {
	return directoryMetrics{
		calls:             newHistogram("directory_call_seconds", "Calls carried out as leader, by outcome.", "outcome"),
		usageReports:      newCounter("directory_usage_reports_total", "Reports of usage that were sent, by outcome.", "outcome"),
		orders:            newCounter("directory_orders_total", "Orders of backends that were sent, by outcome.", "outcome"),
		invalidHeartbeats: newCounter("directory_spoiled_heartbeats_total", "Heartbeats that could not be used, by reason.", "reason"),
	}
}

func (m directoryMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.calls, m.usageReports, m.orders, m.invalidHeartbeats}
}

// outcomeLabel returns the outcome label of a call that returned the error.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

func collectReplica(emit chan<- prometheus.Metric, status *replica.Status) {
	gauge(emit, "replica_leading", "Whether this replica leads.", boolToFloat(status.Leading))
	gauge(emit, "replica_serving", "Whether this replica leads and has applied all that is committed.", boolToFloat(status.Serving))
	gauge(emit, "replica_leader_known", "Whether a leader is known.", boolToFloat(status.LeaderKnown))
	gauge(emit, "replica_term", "The replica's consensus term.", float64(status.Term))
	gauge(emit, "replica_commit_index", "The last committed log index.", float64(status.Commit))
	gauge(emit, "replica_log_entries", "Log entries since the newest snapshot.", float64(status.LogSize))
	gauge(emit, "replica_members", "Members of the group.", float64(len(status.Members)))
	gauge(emit, "replica_voters", "Members of the group with a vote.", float64(status.Voters()))
	gauge(emit, "replica_silent_voters", "On a leader, voters that have not replied for an election timeout.", float64(status.SilentVoters))
	gauge(emit, "replica_missing_voters", "On a leader, voters that the group lacks or that are silent for long.", float64(status.MissingVoters))
}

func (d *Directory) collect(emit chan<- prometheus.Metric) {
	collectReplica(emit, d.replica.Status())
	collectTransport(emit, d.replica.Counts())
	d.scale.collect(emit)
	gauge(emit, "directory_watches", "Watches that are held.", float64(d.confirmations.activeWatches()))
	gauge(emit, "directory_backends", "Backends that are registered.", float64(d.view.Load().BackendCount()))
	d.replica.Do(func() {
		gauge(emit, "directory_version_in_use", "Version of the directory's commands that is in use.", float64(d.machine.VersionInUse()))
		gauge(emit, "directory_usage_untold", "Windows of usage that are fixed and were not taken yet.", float64(len(d.machine.Usage().Untold)))
		suspects, quarantined := 0, 0
		d.machine.Suspects(func(suspect quarantine.Suspect, _ uint64) {
			suspects++
			if suspect.IsQuarantined() {
				quarantined++
			}
		})
		gauge(emit, "directory_suspects", "Requests under which a backend has ended and that none has answered since.", float64(suspects))
		gauge(emit, "directory_requests_held", "Requests that are held back since they crash backends.", float64(quarantined))
	})
}

func (l *Ledger) collect(emit chan<- prometheus.Metric) {
	l.watcher.collect(emit)
	if status := l.Status(); status != nil {
		collectReplica(emit, status)
		collectTransport(emit, l.replica.Counts())
	}
	gauge(emit, "ledger_runners_open", "On a leader, stores that can hold streams of runs for it.", float64(l.executor.openRunners.Load()))
	l.executor.collectPlan(emit)
	l.executor.collectRewards(emit)
	gauge(emit, "runner_runs", "Runs whose streams this store holds for the leader.", float64(l.runnerServer.ActiveRuns()))
}

func (g *Gateway) collect(emit chan<- prometheus.Metric) {
	g.watcher.collect(emit)
	gauge(emit, "gateway_ready", "Whether the gateway takes new connections.", boolToFloat(g.Ready()))
	gauge(emit, "gateway_in_flight", "Requests that have not ended.", float64(g.InFlight()))
	g.admissionMonitor.collect(emit)
	late, dropped := g.usage.meter.Lost()
	gauge(emit, "gateway_usage_late", "Requests that were counted too late for their window of usage.", float64(late))
	gauge(emit, "gateway_usage_dropped", "Requests that were not counted for lack of room.", float64(dropped))
}

func (w *Watcher) collect(emit chan<- prometheus.Metric) {
	catalog := w.Catalog()
	gauge(emit, "configuration_version", "The configuration that this process follows.", float64(catalog.Version))
	gauge(emit, "directory_revision", "The directory's revision that this process knows.", float64(catalog.Revision))
	gauge(emit, "directory_age_seconds", "Time since the directory last answered.", w.syncAgeSeconds())
	gauge(emit, "copy_age_seconds", "Time since this process's copy of the directory is known to have held everything.", w.copyAgeSeconds())
	const name, help = "copy_questions_total", "Questions what a copy that grows old misses, by outcome."
	counter(emit, name, help, w.refreshes.Load(), "outcome", "answered")
	counter(emit, name, help, w.failedRefreshes.Load(), "outcome", "unanswered")
}
