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

// lossyDialer loses its first dials, as if the machine were off, and then returns err or a pipe.
type lossyDialer struct {
	lostAttempts int32
	attempts     atomic.Int32
	err          error
}

func (d *lossyDialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.attempts.Add(1) <= d.lostAttempts {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	connection, _ := net.Pipe()
	return connection, nil
}

// A lost dial must be retried long before it times out, a refusal must be returned at once, and the
// number of dials must be bounded.
func TestLostDialIsRetried(t *testing.T) {
	lossy := &lossyDialer{lostAttempts: 2}
	connection, err := redialer{dial: lossy.dial, interval: time.Millisecond, timeout: time.Hour}.DialContext(context.Background(), "tcp", "a")
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.GreaterOrEqual(t, lossy.attempts.Load(), int32(3))

	refusing := &lossyDialer{lostAttempts: 1, err: &net.OpError{Err: syscall.ECONNREFUSED}}
	_, err = redialer{dial: refusing.dial, interval: time.Millisecond, timeout: time.Hour}.DialContext(context.Background(), "tcp", "a")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	unreachable := &lossyDialer{lostAttempts: 1000}
	_, err = redialer{dial: unreachable.dial, interval: time.Millisecond, timeout: 50 * time.Millisecond}.DialContext(context.Background(), "tcp", "a")
	require.True(t, errors.Is(err, context.DeadlineExceeded), err)
	require.LessOrEqual(t, unreachable.attempts.Load(), int32(maxDials))
}
