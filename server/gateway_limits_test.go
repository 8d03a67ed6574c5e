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

// TestLimitsAreTold: one line when a limit begins, one when it ends, and its share among the
// metrics meanwhile.
func TestLimitsAreTold(t *testing.T) {
	var written bytes.Buffer
	logger := zerolog.New(&written)
	limits := newGatewayLimits(&logger)
	now := time.Unix(1_000_000, 0)
	ask := admission.Request{Service: "s", Target: 150 * time.Millisecond, Remaining: time.Second}
	note := func(took time.Duration) {
		limits.limiter.Admit(now, ask)
		for _, backend := range []string{"a", "b", "c", "d"} {
			limits.limiter.Observe(now, admission.Observation{Service: "s", Backend: backend, Answered: true, Latency: took})
		}
	}
	note(20 * time.Millisecond)
	limits.review(now)
	require.Empty(t, written.String())

	now = now.Add(time.Second)
	note(140 * time.Millisecond)
	note(140 * time.Millisecond)
	limits.review(now)
	limits.review(now)
	require.Equal(t, 1, strings.Count(written.String(), event.LimitStarted.Message))
	require.Equal(t, 1, countMetrics(limits, now, "gateway_limit_share"))

	now = now.Add(10 * time.Second)
	limits.limiter.Admit(now, ask)
	now = now.Add(time.Second)
	limits.limiter.Admit(now, ask)
	limits.review(now)
	require.Equal(t, 1, strings.Count(written.String(), event.LimitEnded.Message))
	require.Zero(t, countMetrics(limits, now, "gateway_limit_share"))
}

// countMetrics returns how many metrics of the name there are.
func countMetrics(limits *gatewayLimits, now time.Time, name string) int {
	emitted := make(chan prometheus.Metric, 100)
	limits.collectAt(now, emitted)
	close(emitted)
	sum := 0
	for metric := range emitted {
		if strings.Contains(metric.Desc().String(), name) {
			sum++
		}
	}
	return sum
}

// TestRefusedRequestTellsItsLimit: the last line of a request that was not admitted says which
// limit, whose share, and how full.
func TestRefusedRequestTellsItsLimit(t *testing.T) {
	var written bytes.Buffer
	logger := zerolog.New(&written)
	line := event.RequestEnded.On(&logger)
	addLimit(line, &forward.Request{Tenant: "t"}, forward.Result{Reason: forward.Overloaded, Admission: admission.Decision{
		Reason: admission.ShareExceeded, Service: "s", AdmittedFraction: 0.25, QueueDelay: 80 * time.Millisecond, RetryAfter: 120 * time.Millisecond,
	}})
	line.Send()
	for _, field := range []string{`"limit":"beyond_share"`, `"service":"s"`, `"tenant":"t"`, `"part_percent":25`, `"delay_ms":80`, `"retry_after_ms":120`} {
		require.Contains(t, written.String(), field)
	}
}
