package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossyDialer loses its first attempts, as a machine without power does, and
// gives pipes afterwards.
type lossyDialer struct {
	lost     int32
	attempts atomic.Int32
	err      error
}

func (d *lossyDialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.attempts.Add(1) <= d.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	connection, _ := net.Pipe()
	return connection, nil
}

// TestLostAttemptIsRepeated: a connection comes up by a later attempt long
// before the first one's time is over; a refusal ends at once; and where nothing
// answers, the attempts are bounded.
func TestLostAttemptIsRepeated(t *testing.T) {
	lossy := &lossyDialer{lost: 2}
	connection, err := redialer{dial: lossy.dial, interval: time.Millisecond, timeout: time.Hour}.DialContext(context.Background(), "tcp", "a")
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.GreaterOrEqual(t, lossy.attempts.Load(), int32(3))

	refusing := &lossyDialer{lost: 1, err: &net.OpError{Err: syscall.ECONNREFUSED}}
	_, err = redialer{dial: refusing.dial, interval: time.Millisecond, timeout: time.Hour}.DialContext(context.Background(), "tcp", "a")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	dark := &lossyDialer{lost: 1000}
	_, err = redialer{dial: dark.dial, interval: time.Millisecond, timeout: 50 * time.Millisecond}.DialContext(context.Background(), "tcp", "a")
	require.True(t, errors.Is(err, context.DeadlineExceeded), err)
	require.LessOrEqual(t, dark.attempts.Load(), int32(maxDials))
}
