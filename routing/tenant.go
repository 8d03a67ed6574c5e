package routing

import "fmt"

// Tenant is a party on whose behalf callers send requests. Callers prove that they belong
// to it by one of its keys.
type Tenant struct {
	Name string `cbor:"1,keyasint"`
	// Keys are secrets: they stand in no log line, metric or error.
	Keys []string `cbor:"2,keyasint"`
	// Priority, where Ranked is set, goes before that of a route; 0 is the most urgent.
	Priority int  `cbor:"3,keyasint"`
	Ranked   bool `cbor:"4,keyasint"`
}

// PriorityOn returns the rank of the tenant's requests on the route. A nil tenant has that
// of the route.
func (t *Tenant) PriorityOn(route Route) int {
	if t == nil || !t.Ranked {
		return route.Priority
	}
	return t.Priority
}

// validateTenants returns an ErrInvalid error that names the first wrong field, and never
// shows a key.
func validateTenants(tenants []Tenant) error {
	names, holders := map[string]bool{}, map[string]string{}
	for position, tenant := range tenants {
		path := fmt.Sprintf("tenants[%d]", position)
		if tenant.Name == "" {
			return ErrInvalid.New("%s.name: must not be empty", path)
		}
		if names[tenant.Name] {
			return ErrInvalid.New("%s.name: %q is there twice", path, tenant.Name)
		}
		names[tenant.Name] = true
		for number, key := range tenant.Keys {
			if key == "" {
				return ErrInvalid.New("%s.keys[%d]: must not be empty", path, number)
			}
			if holder, taken := holders[key]; taken && holder != tenant.Name {
				return ErrInvalid.New("%s.keys[%d]: tenant %q has the same key", path, number, holder)
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}
