package forward

import (
	"fmt"
	"time"
)

const (
	// reportLifetime is how long a load report is used: after that, the requests that it counted have
	// been replaced by others.
	reportLifetime = 400 * time.Millisecond
	// slowdownLifetime is how long a reported slowdown is used: the load of other workloads on a
	// machine changes many times a second.
	slowdownLifetime = 300 * time.Millisecond
	// maxReportWeight is the weight of a new report relative to this process's own measurements. Many
	// processes may have the same report; their own measurements keep them from all choosing one
	// backend.
	maxReportWeight = 0.5
	// serviceLoadLifetime is how long a service counts as reporting its load after its last report.
	serviceLoadLifetime = 10 * time.Second
	// baselineSmoothing is the weight of the newest request in a baseline latency. It is small, since
	// requests differ.
	baselineSmoothing = 0.05
	// utilizationPenalty is the expected relative increase of the latency from an empty backend to one
	// with all slots in use: reports are old when they are used, and other processes send requests as
	// well.
	utilizationPenalty = 1.0
	// nearlyFullOccupancy is the occupancy from which a backend counts as nearly full and has a
	// separate baseline latency.
	nearlyFullOccupancy = 0.75
	// normalSlowdown is the reported slowdown of a backend at normal speed.
	normalSlowdown = 100
)

// loadReport is the latest load report of a backend.
type loadReport struct {
	Load
	at time.Time
	// sent counts the requests that this process has sent to the backend since the report.
	sent int
}

// String returns the report for logs.
func (r *loadReport) String() string {
	return fmt.Sprintf("running=%d waiting=%d slots=%d slowdown=%d sent=%d", r.Running, r.Waiting, r.Slots, r.Slowdown, r.sent)
}

// weight returns the weight of a report of the given age relative to this process's own measurements.
func (r *loadReport) weight(age time.Duration) float64 {
	if r.Slots == 0 {
		return 0
	}
	return maxReportWeight * freshness(age, reportLifetime)
}

// freshness returns 1 for a new value, falling linearly to 0 at the end of its lifetime.
func freshness(age, lifetime time.Duration) float64 {
	if age >= lifetime {
		return 0
	}
	return 1 - float64(max(age, 0))/float64(lifetime)
}

// slowdown returns the backend's slowdown as a factor, according to a report of the given age.
func (r *loadReport) slowdown(age time.Duration) float64 {
	if r.Slowdown == 0 {
		return 1
	}
	return 1 + (float64(r.Slowdown)/normalSlowdown-1)*freshness(age, slowdownLifetime)
}

// withoutSlowdown returns what the latency of a request that ends now would have been without the
// reported slowdown.
func (r *loadReport) withoutSlowdown(latency time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(latency) / r.slowdown(now.Sub(r.at)))
}

// occupancy returns the number of requests per slot if one more is sent, including those in flight
// that this process has sent since the report.
func (r *loadReport) occupancy(inFlight int) float64 {
	return float64(r.Running+r.Waiting+min(r.sent, inFlight)+1) / float64(r.Slots)
}

// latencyFactor returns the expected latency at the occupancy as a multiple of the baseline latency.
func latencyFactor(occupancy float64) float64 {
	utilization := min(occupancy, 1)
	return utilization*utilization*utilizationPenalty + max(occupancy, 1)
}

// baselineLatencies are the latencies of a backend's requests without the wait for a slot and the
// reported slowdown, at normal occupancy and when nearly full. Each is 0 if not known.
type baselineLatencies struct {
	normal, nearlyFull time.Duration
}

// at returns the baseline latency at the occupancy, or the fallback if none is known.
func (b baselineLatencies) at(occupancy float64, fallback time.Duration) time.Duration {
	baseline := b.normal
	if baseline == 0 || occupancy >= nearlyFullOccupancy && b.nearlyFull > 0 {
		baseline = b.nearlyFull
	}
	if baseline == 0 {
		baseline = fallback
	}
	return max(baseline, minLatencyMillis*time.Millisecond)
}

// record updates the baseline latency for the occupancy.
func (b *baselineLatencies) record(baseline time.Duration, occupancy float64) {
	if occupancy >= nearlyFullOccupancy {
		b.nearlyFull = smoothed(b.nearlyFull, baseline, baselineSmoothing)
		return
	}
	b.normal = smoothed(b.normal, baseline, baselineSmoothing)
}

// expectedLatency returns the expected latency of a request that is sent to the backend now,
// according to a report of the given age.
func (s *backendState) expectedLatency(age time.Duration) time.Duration {
	occupancy := s.report.occupancy(s.inFlight)
	baseline := s.baselines.at(occupancy, s.service.baseline)
	return time.Duration(float64(baseline) * s.report.slowdown(age) * latencyFactor(occupancy))
}

// serviceLoadState is the state of a service whose backends report their load.
type serviceLoadState struct {
	reportedAt time.Time
	// baseline is the average latency of a request without the wait for a slot and the backend's
	// slowdown.
	baseline time.Duration
}

// isFresh reports whether a backend of the service has reported its load recently.
func (s *serviceLoadState) isFresh(now time.Time) bool {
	return s != nil && now.Sub(s.reportedAt) < serviceLoadLifetime
}

// recordReport records a backend's load report.
func (s *serviceLoadState) recordReport(state *backendState, load Load, now time.Time) {
	state.report, state.service = loadReport{Load: load, at: now}, s
	s.reportedAt = now
}

// estimateBaseline returns the baseline latency that follows from a request's latency, and the
// backend's occupancy. It returns 0 if there is no fresh load report.
func (s *backendState) estimateBaseline(latency time.Duration, now time.Time) (baseline time.Duration, occupancy float64) {
	if s.report.weight(now.Sub(s.report.at)) == 0 {
		return 0, 0
	}
	occupancy = s.report.occupancy(s.inFlight)
	return time.Duration(float64(s.report.withoutSlowdown(latency, now)) / latencyFactor(occupancy)), occupancy
}

// recordBaseline updates the baseline latencies with the latency of an answered request.
func (s *backendState) recordBaseline(latency time.Duration, now time.Time) {
	baseline, occupancy := s.estimateBaseline(latency, now)
	if baseline == 0 {
		return
	}
	if now.Sub(s.measuredAt) > latencyLifetime {
		s.baselines = baselineLatencies{}
	}
	s.baselines.record(baseline, occupancy)
	s.service.baseline = smoothed(s.service.baseline, baseline, averageSmoothing)
}

// recordLowerBound updates the baseline latency with the time after which a request was cancelled.
// This is a lower bound, so it is only used if it exceeds the known baseline.
func (s *backendState) recordLowerBound(latency time.Duration, now time.Time) {
	baseline, occupancy := s.estimateBaseline(latency, now)
	if baseline > 0 && baseline > s.baselines.at(occupancy, s.service.baseline) {
		s.baselines.record(baseline, occupancy)
	}
}
