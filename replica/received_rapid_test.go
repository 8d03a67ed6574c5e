package replica

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/protocol"
)

// arrival is a snapshot whose data has arrived and whose message waits in the follower's loop.
type arrival struct {
	message       protocol.Message
	index, number uint64
}

// TestFollowerKeepsItsStateUnderSnapshots guards against a follower that loses its state while its leader sends it
// one snapshot after the other: data and messages arrive and are handled in any interleaving, and the follower
// restarts at any time.
func TestFollowerKeepsItsStateUnderSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "replica")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		f := newFollower(t, folder)
		defer func() { require.NoError(t, f.store.Close()) }()
		var waiting []arrival
		installed, newest := arrival{index: 1}, uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"data arrives": func(t *rapid.T) {
				newest += rapid.Uint64Range(0, 3).Draw(t, "entries")
				message, data := f.snapshotOf(newest, newest)
				if newest > 1 {
					f.receiveData(t, message, data)
					waiting = append(waiting, arrival{message, newest, newest})
				}
			},
			"loop runs": func(t *rapid.T) {
				count := rapid.IntRange(0, len(waiting)).Draw(t, "messages")
				for _, handled := range waiting[:count] {
					f.receiveSnapshot(handled.message)
					if handled.index > installed.index {
						installed = handled
					}
				}
				waiting = waiting[count:]
				require.NoError(t, f.flush())
			},
			"restart": func(t *rapid.T) {
				require.NoError(t, f.store.Close())
				waiting = nil
				f = newFollower(t, folder)
				require.Empty(t, f.receivedFiles(t))
			},
			"": func(t *rapid.T) {
				require.Equal(t, installed.index, f.core.Raft().Commit())
				if installed.number == 0 {
					require.Empty(t, f.machine.list)
				} else {
					require.Equal(t, []uint64{installed.number}, f.machine.list)
				}
				require.LessOrEqual(t, len(f.receivedFiles(t)), len(waiting))
			},
		})
	})
}
