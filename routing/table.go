package routing

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route for a request. It is immutable.
type Table struct {
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]Route
}

// NewTable returns a table of the routes.
func NewTable(routes []Route) *Table {
	table := &Table{byHost: make(map[string][]Route)}
	for _, route := range routes {
		host := normalizeHost(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, hostRoutes := range table.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return table
}

// Match returns the host's route with the longest prefix of the path, and false if no
// route matches.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
