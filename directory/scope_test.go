package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/routing"
)

// routesTo returns a configuration with a route for single requests to each service, and one for samples
// to the engines.
func routesTo(version uint64, services ...string) *PutConfiguration {
	put := &PutConfiguration{Configuration: routing.Configuration{Version: version}}
	add := func(name, service string, kind routing.Kind) {
		put.Configuration.Routes = append(put.Configuration.Routes, routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMillis: 1, Shares: []routing.Share{{Service: service, Weight: 1}},
		})
	}
	for _, service := range services {
		add("to-"+service, service, routing.Repeatable)
	}
	add("steps", "engines", routing.Rollout)
	return put
}

// scopedWatcher is a watcher of one scope with its catalog.
type scopedWatcher struct {
	scope   Scope
	catalog *Catalog
}

func (w *scopedWatcher) update(m *Machine) Delta {
	delta := m.DeltaFor(Watch{Since: w.catalog.Revision, Scope: w.scope, Held: w.catalog.Held})
	w.catalog = w.catalog.With(delta)
	return delta
}

// TestScopes: after any changes, also of routes, a watcher holds exactly the backends in its scope.
func TestScopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		watchers := []*scopedWatcher{{scope: ScopeAll}, {scope: ScopeForwarded}, {scope: ScopeNone}}
		for _, w := range watchers {
			w.catalog = NewCatalog()
		}
		names := []string{"plain", "other", "engines"}
		routed := map[string]bool{}
		for version := range rapid.IntRange(1, 15).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id"))
			service := rapid.SampledFrom(names).Draw(t, "service")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				routed = map[string]bool{}
				var services []string
				for _, name := range names {
					if rapid.Bool().Draw(t, "routed") {
						services, routed[name] = append(services, name), true
					}
				}
				apply(t, m, Command{PutConfiguration: routesTo(uint64(version+1), services...)})
			case 1, 2:
				backend := Backend{ID: id, Address: id, Service: service, Models: []ModelVersion{{Model: "m", Version: uint64(version + 1)}}}
				apply(t, m, Command{PutBackend: &backend})
			case 3:
				apply(t, m, Command{RemoveBackend: &RemoveBackend{ID: id}})
			}
			for _, w := range watchers {
				if rapid.Bool().Draw(t, "looks") {
					continue
				}
				w.update(m)
				require.Equal(t, m.Version(), w.catalog.Version)
				require.Equal(t, m.Revision(), w.catalog.Revision)
				for _, backend := range m.Backends() {
					copied, ok := w.catalog.Backend(backend.ID)
					expected := w.scope == ScopeAll || w.scope == ScopeForwarded && routed[backend.Service]
					require.Equal(t, expected, ok, "%s of %s in %q", backend.ID, backend.Service, w.scope)
					require.Equal(t, w.scope == ScopeAll, len(copied.Models) > 0)
				}
			}
		}
	})
}

// TestScopeFiltersDeltas: changes outside a watcher's scope yield an empty delta.
func TestScopeFiltersDeltas(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{PutConfiguration: routesTo(1, "plain")})
	gateway, runner := &scopedWatcher{scope: ScopeForwarded, catalog: NewCatalog()}, &scopedWatcher{scope: ScopeNone, catalog: NewCatalog()}
	require.False(t, gateway.update(m).IsEmpty())
	require.False(t, runner.update(m).IsEmpty())
	for _, c := range []struct {
		command                         Command
		gatewayNotified, runnerNotified bool
	}{
		{Command{PutBackend: &Backend{ID: "e", Address: "1", Service: "engines"}}, false, false},
		{Command{NameVersion: &ModelVersion{Model: "m", Version: 2}}, false, false},
		{Command{PutBackend: &Backend{ID: "p", Address: "2", Service: "plain"}}, true, false},
		{Command{RemoveBackend: &RemoveBackend{ID: "p"}}, true, false},
		{Command{PutStore: &Store{Name: "s"}}, true, true},
		{Command{PutConfiguration: routesTo(2, "plain")}, true, true},
		{Command{PutConfiguration: routesTo(3, "plain", "engines")}, true, true},
	} {
		apply(t, m, c.command)
		require.Equal(t, c.gatewayNotified, !gateway.update(m).IsEmpty(), "%+v", c.command)
		require.Equal(t, c.runnerNotified, !runner.update(m).IsEmpty(), "%+v", c.command)
	}
	_, ok := gateway.catalog.Backend("e")
	require.True(t, ok, "gateways forward to its service now")
}
