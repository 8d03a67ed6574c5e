package server

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

// ErrUnauthenticated: a call needs a key of a tenant and brings none that is known.
var ErrUnauthenticated = errorx.NewNamespace("gateway").NewType("unauthenticated")

// Admission is what a gateway knows of a request that may be passed on.
type Admission struct {
	Route   routing.Route
	Catalog *directory.Catalog
	// Tenant is that of the caller's key, nil for a public route's request without a key and
	// where there are no tenants.
	Tenant *routing.Tenant
}

// TenantName returns the tenant's name, or "".
func (a Admission) TenantName() string {
	if a.Tenant == nil {
		return ""
	}
	return a.Tenant.Name
}

// Admit finds the route of a request and the tenant of its key, "" for none. It fails with
// ErrUnavailable while no configuration is known, with ErrNotFound if there is no route,
// and with ErrUnauthenticated if the route needs another key. It is asked for each
// request, since keys are taken away while connections are kept.
func (g *Gateway) Admit(ctx context.Context, host, path, key string) (Admission, error) {
	route, catalog, err := g.Match(ctx, host, path)
	if err != nil {
		return Admission{}, err
	}
	admitted := Admission{Route: route, Catalog: catalog}
	if key == "" && route.Public {
		return admitted, nil
	}
	admitted.Tenant, err = tenantOf(catalog, key)
	return admitted, err
}

// Identify returns the name of the tenant of a call that is not passed on, "" where there
// are no tenants. Its errors are those of Admit.
func (g *Gateway) Identify(ctx context.Context, key string) (string, error) {
	catalog := g.freshCatalog(ctx)
	if catalog.Version == 0 {
		return "", replica.ErrUnavailable.New("no configuration is known yet")
	}
	tenant, err := tenantOf(catalog, key)
	if err != nil || tenant == nil {
		return "", err
	}
	return tenant.Name, nil
}

// tenantOf returns the tenant of the key, or nil where there are no tenants.
func tenantOf(catalog *directory.Catalog, key string) (*routing.Tenant, error) {
	if !catalog.HasTenants() {
		return nil, nil
	}
	tenant, ok := catalog.TenantByKey(key)
	if !ok {
		return nil, ErrUnauthenticated.New("no tenant has the key")
	}
	return &tenant, nil
}
