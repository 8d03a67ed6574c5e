package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() Configuration {
	return Configuration{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Host: "h", Prefix: "/", TimeoutMillis: 1, Shares: []Share{{Service: "a", Weight: 1}}},
			{Host: "h", Prefix: "/x/", TimeoutMillis: 1, Shares: []Share{{Service: "a", Weight: 0}, {Service: "b", Weight: 9}}},
		},
	}
}

// TestValidateNamesTheField: each kind of wrong configuration is refused with
// the path of what is wrong.
func TestValidateNamesTheField(t *testing.T) {
	require.NoError(t, valid().Validate())
	cases := map[string]func(*Configuration){
		"routes[1]: another route":     func(c *Configuration) { c.Routes[1].Prefix = "/" },
		"routes[0].shares[0].service":  func(c *Configuration) { c.Routes[0].Shares[0].Service = "c" },
		"routes[1].shares: the weight": func(c *Configuration) { c.Routes[1].Shares[1].Weight = 0 },
		"routes[0].timeout":            func(c *Configuration) { c.Routes[0].TimeoutMillis = 0 },
		"routes[0].prefix":             func(c *Configuration) { c.Routes[0].Prefix = "/x" },
		"services[1].name":             func(c *Configuration) { c.Services[1].Name = "a" },
	}
	for reason, spoil := range cases {
		configuration := valid()
		spoil(&configuration)
		require.ErrorContains(t, configuration.Validate(), reason)
	}
}

// TestLongestPrefixMatches: hosts are compared without case and port, paths to the letter.
func TestLongestPrefixMatches(t *testing.T) {
	table := NewTable(valid().Routes)
	for path, prefix := range map[string]string{"/": "/", "/x": "/", "/x/": "/x/", "/x/y": "/x/", "/X/y": "/", "/%78/y": "/"} {
		route, ok := table.Match("H:80", path)
		require.True(t, ok)
		require.Equal(t, prefix, route.Prefix, path)
	}
	_, ok := table.Match("other", "/")
	require.False(t, ok)
}
