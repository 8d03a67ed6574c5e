// Package admission decides whether to admit requests to services that may be overloaded. It does no
// I/O and reads no clock: the caller passes in the current time and what it observed of each service.
package admission

import "time"

// Request describes a request to be admitted.
type Request struct {
	Service string
	// Tenant and Zone identify the caller; either may be empty if unknown.
	Tenant, Zone string
	// Priority is 0 for the most urgent requests.
	Priority int
	// IsRetry is set if the request is known to have been refused before.
	IsRetry bool
	// Target is the latency target of a response, and Remaining the time until the caller's deadline.
	Target, Remaining time.Duration
}

// Reason says why a request was not admitted.
type Reason string

// Reasons for not admitting a request.
const (
	// ShareExceeded: the tenant or zone has exceeded its fair share of an overloaded service.
	ShareExceeded Reason = "beyond_share"
	// LowPriority: requests of higher priority, or first attempts, use the capacity.
	LowPriority Reason = "less_urgent"
	// TooLate: the request cannot be answered before its deadline.
	TooLate Reason = "too_late"
)

// Decision is the result of an admission check.
type Decision struct {
	Admitted bool
	// Reason is empty if the request was admitted.
	Reason Reason
	// RetryAfter is when the caller should retry, 0 if unknown.
	RetryAfter time.Duration
	// Service is the limited service, AdmittedFraction the fraction of this caller's requests of this
	// priority that is admitted, and QueueDelay how far its answers exceed the baseline latency. They
	// are set only if the request was not admitted.
	Service          string
	AdmittedFraction float64
	QueueDelay       time.Duration
}

// Observation is the outcome of one attempt at a backend.
type Observation struct {
	Service, Backend string
	// Answered is set if the backend completed the request, and Refused if it had no capacity.
	Answered, Refused bool
	// Latency is the time from sending the request to the end of the attempt.
	Latency time.Duration
	// Waiting and Slots are the queue length and the slots that the backend reported; Slots is 0 if it
	// reported no load.
	Waiting, Slots int
}

// Limiter admits or refuses requests. Its methods may be called concurrently.
type Limiter interface {
	// Admit decides whether the request may be forwarded now.
	Admit(now time.Time, request Request) Decision
	// Observe records the outcome of an attempt.
	Observe(now time.Time, observation Observation)
	// IsLimiting reports whether the service is overloaded, so that requests must not be hedged or
	// sent again.
	IsLimiting(now time.Time, service string) bool
}

// AdmitAll is a Limiter that admits every request.
type AdmitAll struct{}

// Admit implements Limiter.
func (AdmitAll) Admit(time.Time, Request) Decision { return Decision{Admitted: true} }

// Observe implements Limiter.
func (AdmitAll) Observe(time.Time, Observation) {}

// IsLimiting implements Limiter.
func (AdmitAll) IsLimiting(time.Time, string) bool { return false }
