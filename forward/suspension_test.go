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

// sleeper is a client under which the machine is suspended for longer than the request's time.
type sleeper struct {
	source *clock.Suspendable
	asked  int
}

func (s *sleeper) Send(context.Context, directory.Backend, *Request) Attempt {
	s.asked++
	s.source.Suspend(time.Hour)
	return Attempt{Outcome: Refused}
}

func (s *sleeper) Open(context.Context, directory.Backend, *Request, string) Opened {
	s.asked++
	s.source.Suspend(time.Hour)
	return Opened{Outcome: Refused}
}

// TestNoAttemptBeginsAfterTheDeadline: a request whose time passed while the machine was
// suspended is not sent again, though its timer stood still.
func TestNoAttemptBeginsAfterTheDeadline(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	catalog := catalogOf(backend("a"), backend("b"), backend("c"))
	request := func() *Request { return &Request{ID: "1", Deadline: clock.Now().Add(time.Minute)} }

	client := &sleeper{source: source}
	result := New(client, "z", noSuspects()).Do(context.Background(), catalog, route(routing.Repeatable, 3), request())
	require.Equal(t, 1, client.asked)
	require.Equal(t, Expired, result.Reason)
	require.False(t, result.MayHaveRun)

	client = &sleeper{source: source}
	through := route(routing.Streaming, 3)
	result = New(client, "z", noSuspects()).Stream(context.Background(), catalog, through, request(), &recorder{})
	require.Equal(t, 1, client.asked)
	require.Equal(t, Expired, result.Reason)

	late := request()
	source.Suspend(time.Hour)
	client = &sleeper{source: source}
	result = New(client, "z", noSuspects()).Do(context.Background(), catalog, route(routing.Repeatable, 3), late)
	require.Zero(t, client.asked)
	require.Equal(t, Expired, result.Reason)
}
