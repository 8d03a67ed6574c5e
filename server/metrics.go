package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/transport"
)

// collector emits metrics from a status that is read at each scrape.
type collector func(emit chan<- prometheus.Metric)

// Describe implements prometheus.Collector. It sends nothing, which makes the collector unchecked.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(emit chan<- prometheus.Metric) { c(emit) }

func gauge(emit chan<- prometheus.Metric, name, help string, value float64, labels ...string) {
	emitMetric(emit, prometheus.GaugeValue, name, help, value, labels)
}

func counter(emit chan<- prometheus.Metric, name, help string, value uint64, labels ...string) {
	emitMetric(emit, prometheus.CounterValue, name, help, float64(value), labels)
}

// emitMetric emits a metric. The labels alternate between names and values.
func emitMetric(emit chan<- prometheus.Metric, kind prometheus.ValueType, name, help string, value float64, labels []string) {
	constLabels := prometheus.Labels{}
	for position := 0; position+1 < len(labels); position += 2 {
		constLabels[labels[position]] = labels[position+1]
	}
	description := prometheus.NewDesc("dillchute_"+name, help, nil, constLabels)
	emit <- prometheus.MustNewConstMetric(description, kind, value)
}

func newRegistry(collect collector, extra ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(extra...)
	registry.MustRegister(collect, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func collectTransport(emit chan<- prometheus.Metric, counts *transport.Counts) {
	counter(emit, "messages_sent_total", "Messages written to peers.", counts.MessagesSent.Load())
	counter(emit, "messages_received_total", "Messages read from peers.", counts.MessagesReceived.Load())
	counter(emit, "messages_dropped_total", "Messages dropped for full queues or unreachable peers.", counts.MessagesDropped.Load())
	counter(emit, "messages_refused_total", "Received messages that the budget of memory had no room for.", counts.MessagesRefused.Load())
	counter(emit, "message_bytes_sent_total", "Bytes of messages written to peers.", counts.BytesSent.Load())
	counter(emit, "message_bytes_received_total", "Bytes of messages read from peers.", counts.BytesReceived.Load())
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (c *Control) registry() *prometheus.Registry {
	return newRegistry(func(emit chan<- prometheus.Metric) {
		status := c.status.Load()
		gauge(emit, "control_leading", "Whether this replica leads.", boolToFloat(status.leading))
		gauge(emit, "control_term", "The replica's consensus term.", float64(status.term))
		gauge(emit, "control_commit_index", "The last committed log index.", float64(status.commit))
		gauge(emit, "control_log_entries", "Log entries since the newest snapshot.", float64(status.logEntries))
		gauge(emit, "control_revision", "The catalog's revision.", float64(status.revision))
		gauge(emit, "control_nodes", "Registered nodes.", float64(status.nodes))
		gauge(emit, "control_engines", "Known engines.", float64(status.engines))
		for pool, pending := range status.pending {
			counters := status.counters[pool]
			gauge(emit, "pool_samples_pending", "Samples that wait for a node.", float64(pending), "pool", pool)
			gauge(emit, "pool_samples_unacknowledged", "Samples not acknowledged yet.", float64(status.unfinished[pool]), "pool", pool)
			counter(emit, "pool_samples_submitted_total", "Samples submitted.", counters.Submitted, "pool", pool)
			counter(emit, "pool_samples_acknowledged_total", "Samples acknowledged by the trainer.", counters.Acknowledged, "pool", pool)
			counter(emit, "pool_stale_reruns_total", "Results run again for their age.", counters.StaleReruns, "pool", pool)
			counter(emit, "pool_discarded_total", "Results discarded as later than the first.", counters.Discarded, "pool", pool)
		}
		collectTransport(emit, &c.transport.Counts)
	})
}

func (n *Node) registry() *prometheus.Registry {
	return newRegistry(func(emit chan<- prometheus.Metric) {
		status := n.status.Load()
		gauge(emit, "node_leased", "Whether the node holds a lease.", boolToFloat(status.leased))
		gauge(emit, "node_revision", "The catalog revision the node acts on.", float64(status.revision))
		gauge(emit, "node_in_flight", "Requests the node has not ended.", float64(status.inFlight))
		collectNodeCounters(emit, status.counters)
		collectTransport(emit, &n.transport.Counts)
	})
}

func collectNodeCounters(emit chan<- prometheus.Metric, counters node.Counters) {
	const outcomes, outcomesHelp = "node_requests_total", "Live requests ended, by outcome."
	counter(emit, outcomes, outcomesHelp, counters.Answered, "outcome", "answered")
	counter(emit, outcomes, outcomesHelp, counters.NotRun, "outcome", "not_run")
	counter(emit, outcomes, outcomesHelp, counters.Unknown, "outcome", "unknown")
	counter(emit, "node_samples_completed_total", "Samples completed.", counters.SamplesCompleted)
	counter(emit, "node_samples_returned_total", "Samples given back to control.", counters.SamplesReturned)
	counter(emit, "node_tokens_generated_total", "Tokens received from engines.", counters.TokensGenerated)
	counter(emit, "node_tokens_wasted_total", "Tokens thrown away.", counters.TokensWasted)
	counter(emit, "node_retries_total", "Attempts after the first.", counters.Retries)
	counter(emit, "node_chunks_dropped_total", "Chunks that matched no live attempt.", counters.DroppedChunks)
	counter(emit, "node_swaps_total", "Weight swaps done.", counters.Swaps)
	counter(emit, "node_swap_failures_total", "Weight swaps that failed.", counters.SwapFailures)
}
