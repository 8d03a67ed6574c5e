package routing

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

func TestInvalidTenantsNameTheField(t *testing.T) {
	for name, test := range map[string]struct {
		tenants []Tenant
		field   string
	}{
		"shared key": {[]Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"x", "secret"}}}, "tenants[1].keys[1]"},
		"same name":  {[]Tenant{{Name: "a"}, {Name: "a"}}, "tenants[1].name"},
		"no name":    {[]Tenant{{Keys: []string{"secret"}}}, "tenants[0].name"},
		"empty key":  {[]Tenant{{Name: "a", Keys: []string{"secret", ""}}}, "tenants[0].keys[1]"},
	} {
		err := Configuration{Version: 1, Tenants: test.tenants}.Validate()
		require.True(t, errorx.IsOfType(err, ErrInvalid), name)
		require.Contains(t, err.Error(), test.field, name)
		require.NotContains(t, err.Error(), "secret", "errors must not contain keys")
	}
	require.NoError(t, Configuration{Version: 1, Tenants: []Tenant{{Name: "a", Keys: []string{"k", "k2"}}, {Name: "b"}}}.Validate())
}

func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	route := Route{Priority: 3}
	var noTenant *Tenant
	require.Equal(t, 3, noTenant.PriorityOn(route))
	require.Equal(t, 3, (&Tenant{Priority: 0}).PriorityOn(route))
	require.Equal(t, 0, (&Tenant{Priority: 0, Ranked: true}).PriorityOn(route))
}
