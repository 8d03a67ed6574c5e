package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func validConfiguration() Configuration {
	return Configuration{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Host: "h", Prefix: "/", TimeoutMillis: 1, Shares: []Share{{Service: "a", Weight: 1}}},
			{Host: "h", Prefix: "/x/", TimeoutMillis: 1, Shares: []Share{{Service: "a", Weight: 0}, {Service: "b", Weight: 9}}},
		},
	}
}

// TestValidateNamesTheField checks that the error contains the path of the invalid field.
func TestValidateNamesTheField(t *testing.T) {
	require.NoError(t, validConfiguration().Validate())
	cases := map[string]func(*Configuration){
		"routes[1]: another route":     func(c *Configuration) { c.Routes[1].Prefix = "/" },
		"routes[0].shares[0].service":  func(c *Configuration) { c.Routes[0].Shares[0].Service = "c" },
		"routes[1].shares: the weight": func(c *Configuration) { c.Routes[1].Shares[1].Weight = 0 },
		"routes[0].timeout":            func(c *Configuration) { c.Routes[0].TimeoutMillis = 0 },
		"routes[0].prefix":             func(c *Configuration) { c.Routes[0].Prefix = "/x" },
		"services[1].name":             func(c *Configuration) { c.Services[1].Name = "a" },
	}
	for want, invalidate := range cases {
		configuration := validConfiguration()
		invalidate(&configuration)
		require.ErrorContains(t, configuration.Validate(), want)
	}
}

// TestLongestPrefixMatches also checks that matching ignores a host's case and port, but not the case of
// paths.
func TestLongestPrefixMatches(t *testing.T) {
	table := NewTable(validConfiguration().Routes)
	for path, prefix := range map[string]string{"/": "/", "/x": "/", "/x/": "/x/", "/x/y": "/x/", "/X/y": "/", "/%78/y": "/"} {
		route, ok := table.Match("H:80", path)
		require.True(t, ok)
		require.Equal(t, prefix, route.Prefix, path)
	}
	_, ok := table.Match("other", "/")
	require.False(t, ok)
}
