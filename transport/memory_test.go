package transport

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/protocol"
)

// testMemory returns a budget that no test uses up.
func testMemory() *intake.Budget { return intake.NewBudget(1 << 30) }

// TestMessagesTakeTheBudget checks that a large message, and a small one that decodes to much, are refused by a small budget,
// that a heartbeat is received even if the budget is used up, and that nothing stays reserved.
func TestMessagesTakeTheBudget(t *testing.T) {
	budget := intake.NewBudget(1 << 20)
	read := func(message any) error {
		data, err := cbor.Marshal(message)
		require.NoError(t, err)
		var stream bytes.Buffer
		require.NoError(t, WriteFrame(&stream, data))
		_, _, err = ReadMessage(budget, &stream)
		return err
	}
	entries := func(count, size int) protocol.Message {
		message := &consensus.Message{}
		for range count {
			message.Entries = append(message.Entries, consensus.Entry{Data: make([]byte, size)})
		}
		return protocol.Message{Consensus: message}
	}
	require.NoError(t, read(entries(1, 100<<10)))
	require.True(t, errorx.IsOfType(read(entries(1, 800<<10)), intake.ErrTooLarge))
	require.True(t, errorx.IsOfType(read(entries(5000, 0)), intake.ErrTooLarge), "many small entries")
	require.Zero(t, budget.Reserved())
	used := budget.NewReservation(0)
	require.NoError(t, used.Resize(1<<20))
	require.NoError(t, read(entries(1, 1000)), "small messages need no room")
	require.True(t, errorx.IsOfType(read(entries(1, 100<<10)), intake.ErrBusy))
}
