package directory

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestServiceListsMatchFullDelta: a catalog updated incrementally lists the same backends as one built
// from a full delta, and no earlier catalog changes.
func TestServiceListsMatchFullDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := NewMachine()
		catalog := NewCatalog()
		for range rapid.IntRange(1, 20).Draw(t, "deltas") {
			for range rapid.IntRange(1, 3).Draw(t, "commands") {
				id := fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "id"))
				backend := Backend{
					ID: id, Address: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
					Slots: rapid.IntRange(1, 9).Draw(t, "slots"),
				}
				if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
					apply(t, machine, Command{RemoveBackend: &RemoveBackend{ID: id}})
				} else {
					apply(t, machine, Command{PutBackend: &backend})
				}
			}
			before, listed := catalog, describeLists(catalog)
			catalog = catalog.With(machine.DeltaSince(catalog.Revision))
			full := NewCatalog().With(machine.DeltaSince(0))
			require.Equal(t, full.byService, catalog.byService)
			require.Equal(t, full.BackendCount(), catalog.BackendCount())
			for backend := range full.backends.all() {
				incremental, ok := catalog.Backend(backend.ID)
				require.True(t, ok)
				require.Equal(t, *backend, incremental)
			}
			require.Equal(t, listed, describeLists(before))
		}
	})
}

// describeLists returns the catalog's lists as text.
func describeLists(catalog *Catalog) string {
	text := ""
	for _, service := range slices.Sorted(maps.Keys(catalog.byService)) {
		for _, backend := range catalog.byService[service] {
			text += fmt.Sprintf("%s: %+v\n", service, *backend)
		}
	}
	return text
}
