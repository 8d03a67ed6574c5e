package server

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/admission"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
)

// TestLimitsAreLoggedAndExported checks that the start and the end of a limit are logged once each,
// and that the admitted fraction is exported only while the limit lasts.
func TestLimitsAreLoggedAndExported(t *testing.T) {
	var output bytes.Buffer
	logger := zerolog.New(&output)
	monitor := newAdmissionMonitor(&logger)
	now := time.Unix(1_000_000, 0)
	request := admission.Request{Service: "s", Target: 150 * time.Millisecond, Remaining: time.Second}
	observe := func(latency time.Duration) {
		monitor.limiter.Admit(now, request)
		for _, backend := range []string{"a", "b", "c", "d"} {
			monitor.limiter.Observe(now, admission.Observation{Service: "s", Backend: backend, Answered: true, Latency: latency})
		}
	}
	observe(20 * time.Millisecond)
	monitor.review(now)
	require.Empty(t, output.String())

	now = now.Add(time.Second)
	observe(140 * time.Millisecond)
	observe(140 * time.Millisecond)
	monitor.review(now)
	monitor.review(now)
	require.Equal(t, 1, strings.Count(output.String(), event.LimitStarted.Message))
	require.Equal(t, 1, countMetrics(monitor, now, "gateway_limit_share"))

	now = now.Add(10 * time.Second)
	monitor.limiter.Admit(now, request)
	now = now.Add(time.Second)
	monitor.limiter.Admit(now, request)
	monitor.review(now)
	require.Equal(t, 1, strings.Count(output.String(), event.LimitEnded.Message))
	require.Zero(t, countMetrics(monitor, now, "gateway_limit_share"))
}

// countMetrics returns the number of collected metrics whose description contains the name.
func countMetrics(monitor *admissionMonitor, now time.Time, name string) int {
	metrics := make(chan prometheus.Metric, 100)
	monitor.collectAt(now, metrics)
	close(metrics)
	count := 0
	for metric := range metrics {
		if strings.Contains(metric.Desc().String(), name) {
			count++
		}
	}
	return count
}

// TestRefusedRequestLogsAdmissionDecision checks the admission fields in the log line of a request
// that was not admitted.
func TestRefusedRequestLogsAdmissionDecision(t *testing.T) {
	var output bytes.Buffer
	logger := zerolog.New(&output)
	line := event.RequestEnded.On(&logger)
	addAdmissionFields(line, &forward.Request{Tenant: "t"}, forward.Result{Reason: forward.Overloaded, Admission: admission.Decision{
		Reason: admission.ShareExceeded, Service: "s", AdmittedFraction: 0.25, QueueDelay: 80 * time.Millisecond, RetryAfter: 120 * time.Millisecond,
	}})
	line.Send()
	for _, field := range []string{`"limit":"beyond_share"`, `"service":"s"`, `"tenant":"t"`, `"part_percent":25`, `"delay_ms":80`, `"retry_after_ms":120`} {
		require.Contains(t, output.String(), field)
	}
}
