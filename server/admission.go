package server

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

// ErrUnauthenticated is the error for a call that needs a tenant's key and has no valid one.
var ErrUnauthenticated = errorx.NewNamespace("gateway").NewType("unauthenticated")

// Admission holds the route and the tenant of a request that may be forwarded.
type Admission struct {
	Route   routing.Route
	Catalog *directory.Catalog
	// Tenant is the tenant of the caller's key. It is nil for a request without a key to a public
	// route, and if no tenants are configured.
	Tenant *routing.Tenant
}

// TenantName returns the tenant's name, or "" without a tenant.
func (a Admission) TenantName() string {
	if a.Tenant == nil {
		return ""
	}
	return a.Tenant.Name
}

// Admit finds the route of a request and the tenant of its key; an empty key means none. It fails
// with ErrUnavailable while the gateway has no configuration, with ErrNotFound if no route matches,
// and with ErrUnauthenticated if the route needs a valid key. It must be called for every request,
// because keys can be revoked while connections stay open.
func (g *Gateway) Admit(ctx context.Context, host, path, key string) (Admission, error) {
	route, catalog, err := g.Match(ctx, host, path)
	if err != nil {
		return Admission{}, err
	}
	admission := Admission{Route: route, Catalog: catalog}
	if key == "" && route.Public {
		return admission, nil
	}
	admission.Tenant, err = tenantForKey(catalog, key)
	return admission, err
}

// Authenticate returns the tenant's name for a call that needs no route, or "" if no tenants are
// configured. It fails with ErrUnavailable or ErrUnauthenticated, as Admit does.
func (g *Gateway) Authenticate(ctx context.Context, key string) (string, error) {
	catalog := g.freshCatalog(ctx)
	if catalog.Version == 0 {
		return "", replica.ErrUnavailable.New("the gateway has no configuration yet")
	}
	tenant, err := tenantForKey(catalog, key)
	if err != nil || tenant == nil {
		return "", err
	}
	return tenant.Name, nil
}

// tenantForKey returns the tenant of the key, or nil if no tenants are configured.
func tenantForKey(catalog *directory.Catalog, key string) (*routing.Tenant, error) {
	if !catalog.HasTenants() {
		return nil, nil
	}
	tenant, ok := catalog.TenantByKey(key)
	if !ok {
		return nil, ErrUnauthenticated.New("the key belongs to no tenant")
	}
	return &tenant, nil
}
