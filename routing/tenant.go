package routing

import "fmt"

// Tenant is an organization on whose behalf callers send requests. Callers authenticate
// with one of its keys.
type Tenant struct {
	Name string `cbor:"1,keyasint"`
	// Keys are secrets and must not appear in logs, metrics or errors.
	Keys []string `cbor:"2,keyasint"`
	// Priority overrides the route's priority if Ranked is set; 0 is the highest.
	Priority int  `cbor:"3,keyasint"`
	Ranked   bool `cbor:"4,keyasint"`
}

// PriorityOn returns the priority of the tenant's requests on the route. For a nil tenant
// it is the route's priority.
func (t *Tenant) PriorityOn(route Route) int {
	if t == nil || !t.Ranked {
		return route.Priority
	}
	return t.Priority
}

// validateTenants returns an ErrInvalid error that names the first invalid field and never
// contains a key.
func validateTenants(tenants []Tenant) error {
	names, owners := map[string]bool{}, map[string]string{}
	for i, tenant := range tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if tenant.Name == "" {
			return ErrInvalid.New("%s.name: must not be empty", path)
		}
		if names[tenant.Name] {
			return ErrInvalid.New("%s.name: duplicate name %q", path, tenant.Name)
		}
		names[tenant.Name] = true
		for j, key := range tenant.Keys {
			if key == "" {
				return ErrInvalid.New("%s.keys[%d]: must not be empty", path, j)
			}
			if owner, exists := owners[key]; exists && owner != tenant.Name {
				return ErrInvalid.New("%s.keys[%d]: tenant %q has the same key", path, j, owner)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}
