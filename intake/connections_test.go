package intake

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestConnectionsKeepTheirLimit opens, moves and closes connections of three listeners at random. There are never more than
// the limit, an answered connection is never closed for a new one, and a listener below its share gets a new connection
// unless all others are being answered.
func TestConnectionsKeepTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := newConnections(rapid.IntRange(3, 12).Draw(t, "limit"))
		var sections []*section
		for range 3 {
			sections = append(sections, pool.addSection(rapid.IntRange(1, 8).Draw(t, "weight")))
		}
		phases := map[*conn]phase{}
		var order []*conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(order) == 0 || rapid.Bool().Draw(t, "open") {
				added := &conn{section: rapid.SampledFrom(sections).Draw(t, "listener")}
				belowShare := added.section.count < pool.share(added.section)
				victim, admitted := pool.admit(added)
				if victim != nil {
					require.NotEqual(t, phaseAnswer, phases[victim], "an answered connection was closed")
					delete(phases, victim)
				}
				if admitted {
					phases[added] = phaseWaiting
					order = append(order, added)
				} else if belowShare {
					requireOthersBusy(t, pool, added.section, phases)
				}
			} else {
				moved := rapid.SampledFrom(order).Draw(t, "connection")
				to := rapid.SampledFrom([]phase{phaseWaiting, phaseHead, phaseBody, phaseAnswer}).Draw(t, "phase")
				_, open := phases[moved]
				require.Equal(t, open, pool.move(moved, to))
				if open {
					phases[moved] = to
				}
				if rapid.IntRange(0, 3).Draw(t, "close") == 0 {
					pool.drop(moved)
					delete(phases, moved)
				}
			}
			require.LessOrEqual(t, pool.open(), pool.limit)
			require.Equal(t, len(phases), pool.open())
		}
	})
}

// requireOthersBusy requires that no connection of the section, or of a section above its share, could have been closed.
func requireOthersBusy(t *rapid.T, pool *connections, refused *section, phases map[*conn]phase) {
	for other, in := range phases {
		if other.section == refused || other.section.count > pool.share(other.section) {
			require.Equal(t, phaseAnswer, in, "a connection was refused although another could have been closed")
		}
	}
}

// TestOldestWaitingConnectionIsClosed checks which connection makes room for a new one.
func TestOldestWaitingConnectionIsClosed(t *testing.T) {
	pool := newConnections(3)
	crowd := pool.addSection(1)
	var opened []*conn
	for range 3 {
		added := &conn{section: crowd}
		_, admitted := pool.admit(added)
		require.True(t, admitted)
		opened = append(opened, added)
	}
	pool.move(opened[0], phaseBody)
	pool.move(opened[1], phaseHead)
	for _, expected := range []*conn{opened[2], opened[1], opened[0]} {
		added := &conn{section: crowd}
		victim, admitted := pool.admit(added)
		require.True(t, admitted)
		require.Same(t, expected, victim)
		pool.move(added, phaseAnswer)
	}
	_, admitted := pool.admit(&conn{section: crowd})
	require.False(t, admitted, "all are being answered")
}
