package routing

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]Route
}

// NewTable returns the table of the routes.
func NewTable(routes []Route) *Table {
	table := &Table{byHost: make(map[string][]Route)}
	for _, route := range routes {
		host := normalizeHost(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, hosted := range table.byHost {
		sort.SliceStable(hosted, func(i, j int) bool { return len(hosted[i].Prefix) > len(hosted[j].Prefix) })
	}
	return table
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, and false if there is none.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// normalizeHost drops a port and folds the case.
func normalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
