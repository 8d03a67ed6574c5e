// Package routing defines, validates and matches the routing configuration: routes by
// host and path prefix, weighted splits between services, timeouts and tenants.
package routing

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("routing")
	// ErrInvalid is returned for a configuration that must not be applied. The message
	// names the path of the invalid field.
	ErrInvalid = namespace.NewType("invalid")
)

// Kind specifies how a route's requests are processed and whether they may be repeated.
type Kind uint8

const (
	// Unrepeatable requests run at most once.
	Unrepeatable Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Streaming requests are answered with a stream of events.
	Streaming
	// Rollout routes take steps of samples instead of single requests.
	Rollout
)

// Share is a service's weighted share of a route's requests.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  float64
}

// Route sends a host's requests whose path begins with Prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Resumable streams may be continued by another backend.
	Resumable bool    `cbor:"5,keyasint"`
	Shares    []Share `cbor:"6,keyasint"`
	// TimeoutMillis limits the total time of a request.
	TimeoutMillis int64 `cbor:"7,keyasint"`
	// TargetMillis is the target response time.
	TargetMillis int64 `cbor:"8,keyasint"`
	// Attempts is the maximum number of backends that a request is sent to.
	Attempts int `cbor:"9,keyasint"`
	Priority int `cbor:"10,keyasint"`
	// DueMillis and GiveUpMillis apply to steps: the times, from the submission of the
	// step, when its results are due and when unfinished samples may be abandoned.
	DueMillis    int64 `cbor:"11,keyasint"`
	GiveUpMillis int64 `cbor:"12,keyasint"`
	// SingleVersion requires each sample to be generated with a single version of the weights.
	SingleVersion bool `cbor:"13,keyasint"`
	// Public routes accept requests without a key.
	Public bool `cbor:"14,keyasint,omitempty"`
}

// Key returns the host and prefix of the route, which are unique in a configuration.
func (r Route) Key() string { return r.Host + " " + r.Prefix }

// Service is a group of interchangeable backends.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections limits the connections of all callers to one backend.
	MaxConnections int `cbor:"2,keyasint"`
	// Models lists the models that the service's engines load. It is empty for services
	// without engines.
	Models []string `cbor:"3,keyasint"`
	// EventTokens is the number of tokens in one event of an engine's stream, 0 if unknown.
	EventTokens int `cbor:"4,keyasint,omitempty"`
	// Scale is nil if the service is not scaled automatically.
	Scale *Scale `cbor:"5,keyasint,omitempty"`
}

// Limits restricts the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes       int   `cbor:"1,keyasint"`
	BodyBytes         int64 `cbor:"2,keyasint"`
	HeaderReadMillis  int64 `cbor:"3,keyasint"`
	IdleTimeoutMillis int64 `cbor:"4,keyasint"`
}

// Configuration is one version of all routes, services, limits and tenants. If it has no
// tenants, requests need no key.
type Configuration struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	Tenants  []Tenant  `cbor:"5,keyasint,omitempty"`
}

// Validate returns an ErrInvalid error that names the first invalid field.
func (c Configuration) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for i, service := range c.Services {
		if service.Name == "" {
			return ErrInvalid.New("services[%d].name: must not be empty", i)
		}
		if services[service.Name] {
			return ErrInvalid.New("services[%d].name: duplicate name %q", i, service.Name)
		}
		services[service.Name] = true
	}
	keys := make(map[string]bool, len(c.Routes))
	for i, route := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if err := route.validate(path, services); err != nil {
			return err
		}
		if keys[route.Key()] {
			return ErrInvalid.New("%s: another route has host %q and prefix %q", path, route.Host, route.Prefix)
		}
		keys[route.Key()] = true
	}
	return validateTenants(c.Tenants)
}

func (r Route) validate(path string, services map[string]bool) error {
	if r.Host == "" {
		return ErrInvalid.New("%s.host: must not be empty", path)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return ErrInvalid.New("%s.prefix: must begin and end with a slash", path)
	}
	if r.TimeoutMillis <= 0 {
		return ErrInvalid.New("%s.timeout: must be positive", path)
	}
	return r.validateShares(path, services)
}

func (r Route) validateShares(path string, services map[string]bool) error {
	total := 0.0
	for i, share := range r.Shares {
		if !services[share.Service] {
			return ErrInvalid.New("%s.shares[%d].service: unknown service %q", path, i, share.Service)
		}
		if share.Weight < 0 {
			return ErrInvalid.New("%s.shares[%d].weight: must not be negative", path, i)
		}
		total += share.Weight
	}
	if total <= 0 {
		return ErrInvalid.New("%s.shares: the weights sum to 0", path)
	}
	return nil
}
