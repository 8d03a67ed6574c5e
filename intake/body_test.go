package intake

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// TestBodyMemoryIsBounded checks that a body is refused while other bodies use the memory, and that memory is
// released by Release and after a read error.
func TestBodyMemoryIsBounded(t *testing.T) {
	budget := NewBudget(1 << 20)
	body := strings.Repeat("x", 500<<10)
	read := func(reader io.Reader) (Body, error) { return budget.Read(reader, int64(len(body)), 1<<20, 0) }
	first, err := read(strings.NewReader(body))
	require.NoError(t, err)
	require.Equal(t, body, string(first.Bytes))
	require.GreaterOrEqual(t, budget.Reserved(), int64(cap(first.Bytes)), "the capacity is reserved")
	_, err = read(strings.NewReader(body))
	require.True(t, errorx.IsOfType(err, ErrBusy))
	readError := errors.New("broken")
	_, err = read(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(readError)))
	require.ErrorIs(t, err, readError)
	first.Release()
	first.Release()
	require.Zero(t, budget.Reserved())
	again, err := read(strings.NewReader(body))
	require.NoError(t, err)
	again.Release()
	_, err = budget.Read(strings.NewReader(body), -1, 100<<10, 0)
	require.True(t, errorx.IsOfType(err, ErrTooLarge), "the limit of one body")
	require.Zero(t, budget.Reserved())
	_, err = budget.Read(strings.NewReader(strings.Repeat("x", 2<<20)), -1, 4<<20, 0)
	require.True(t, errorx.IsOfType(err, ErrTooLarge), "more than the whole budget never fits")
	require.Zero(t, budget.Reserved())
}

// TestStatedLengthReservesNothing guards against a sender that states a length and sends little.
func TestStatedLengthReservesNothing(t *testing.T) {
	budget := NewBudget(1 << 20)
	body, err := budget.Read(strings.NewReader("x"), 1<<40, 1<<41, 0)
	require.NoError(t, err)
	require.LessOrEqual(t, cap(body.Bytes), firstReadBytes)
	for _, size := range []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, 100_000} {
		whole, err := budget.Read(strings.NewReader(strings.Repeat("y", size)), int64(size), int64(size), 0)
		require.NoError(t, err, size)
		require.Len(t, whole.Bytes, size)
		require.LessOrEqual(t, cap(whole.Bytes), max(size+1, firstReadBytes), "a body of the stated length takes no more")
		whole.Release()
	}
}

// TestScopeEndsAllReservations checks reservations that are added before and after the end of their request.
func TestScopeEndsAllReservations(t *testing.T) {
	budget := NewBudget(100)
	scope := &Scope{}
	for range 2 {
		reservation := budget.NewReservation(0)
		require.NoError(t, reservation.Resize(10))
		scope.Add(reservation)
	}
	require.Equal(t, int64(20), budget.Reserved())
	scope.Release()
	require.Zero(t, budget.Reserved())
	late := budget.NewReservation(0)
	require.NoError(t, late.Resize(10))
	scope.Add(late)
	require.Zero(t, budget.Reserved())
}
