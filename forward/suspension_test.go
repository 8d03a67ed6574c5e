package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// suspendingClient is a client that suspends the machine beyond the request's deadline in each call.
type suspendingClient struct {
	source *clock.Suspendable
	calls  int
}

func (c *suspendingClient) Send(context.Context, directory.Backend, *Request) Attempt {
	c.calls++
	c.source.Suspend(time.Hour)
	return Attempt{Outcome: Refused}
}

func (c *suspendingClient) Open(context.Context, directory.Backend, *Request, string) OpenedStream {
	c.calls++
	c.source.Suspend(time.Hour)
	return OpenedStream{Outcome: Refused}
}

// A request whose deadline passed while the machine was suspended must not be sent again, although its
// timer did not advance.
func TestNoAttemptBeginsAfterTheDeadline(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	catalog := newCatalog(newBackend("a"), newBackend("b"), newBackend("c"))
	request := func() *Request { return &Request{ID: "1", Deadline: clock.Now().Add(time.Minute)} }

	client := &suspendingClient{source: source}
	result := New(client, "z", newGuard()).Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), request())
	require.Equal(t, 1, client.calls)
	require.Equal(t, Expired, result.Reason)
	require.False(t, result.MayHaveRun)

	client = &suspendingClient{source: source}
	route := newRoute(routing.Streaming, 3)
	result = New(client, "z", newGuard()).Stream(context.Background(), catalog, route, request(), &recordingSink{})
	require.Equal(t, 1, client.calls)
	require.Equal(t, Expired, result.Reason)

	expired := request()
	source.Suspend(time.Hour)
	client = &suspendingClient{source: source}
	result = New(client, "z", newGuard()).Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), expired)
	require.Zero(t, client.calls)
	require.Equal(t, Expired, result.Reason)
}
