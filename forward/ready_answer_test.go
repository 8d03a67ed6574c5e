package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// blockingClient is a client that does not answer before the test ends.
type blockingClient struct{ release chan struct{} }

func (c blockingClient) Send(context.Context, directory.Backend, *Request) Attempt {
	<-c.release
	return Attempt{Outcome: Lost}
}

// A response that is available when the request's context ends must always be returned.
func TestReadyAnswerIsDelivered(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		e := &exchange{
			forwarder: New(blockingClient{release}, "z", newGuard()), catalog: newCatalog(newBackend("a")), route: routing.Route{Kind: routing.Repeatable, Attempts: 2},
			quarantineCheck: quarantineCheck{guard: newGuard()},
			request:         &Request{}, services: []string{"s"}, tried: map[string]bool{}, attemptResults: make(chan attemptResult, 2),
		}
		e.pending = 1
		e.attemptResults <- attemptResult{attempt: Attempt{Outcome: Answered, Response: Response{Status: 200}}}
		result := e.do(expired)
		require.NotNil(t, result.Response)
		require.Equal(t, 200, result.Response.Status)
	}
}
