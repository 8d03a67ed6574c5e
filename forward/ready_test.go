package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// held is a client whose answers do not come before the test ends.
type held struct{ ended chan struct{} }

func (h held) Send(context.Context, directory.Backend, *Request) Attempt {
	<-h.ended
	return Attempt{Outcome: Lost}
}

// TestReadyAnswerIsDelivered: where a request's time is over and a backend's answer is there,
// the answer is passed on, each time.
func TestReadyAnswerIsDelivered(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		r := &run{
			forwarder: New(held{ended}, "z", noSuspects()), catalog: catalogOf(backend("a")), route: routing.Route{Kind: routing.Repeatable, Attempts: 2},
			clearance: clearance{guard: noSuspects()},
			request:   &Request{}, services: []string{"s"}, tried: map[string]bool{}, attempts: make(chan attempted, 2),
		}
		r.pending = 1
		r.attempts <- attempted{attempt: Attempt{Outcome: Answered, Response: Response{Status: 200}}}
		result := r.do(expired)
		require.NotNil(t, result.Response)
		require.Equal(t, 200, result.Response.Status)
	}
}
