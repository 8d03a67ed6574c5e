package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestListsOfServicesFollowChanges: a catalog that took in changes bit by bit lists the same
// backends as one that took in all at once, and no earlier catalog changes.
func TestListsOfServicesFollowChanges(t *testing.T) {
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
			before, listed := catalog, fmt.Sprint(catalog.byService)
			catalog = catalog.With(machine.DeltaSince(catalog.Revision))
			whole := NewCatalog().With(machine.DeltaSince(0))
			require.Equal(t, whole.byService, catalog.byService)
			require.Len(t, catalog.backends, len(whole.backends))
			for id, backend := range whole.backends {
				require.Equal(t, backend, catalog.backends[id])
			}
			require.Equal(t, listed, fmt.Sprint(before.byService))
		}
	})
}
