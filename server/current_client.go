package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
)

// currentClient sends to backends that have not left by a current copy of the directory. A request
// may be sent again long after its backends were listed for it.
type currentClient struct {
	client  forward.Client
	watcher *Watcher
}

// newCurrentClient returns the client with a look at the copy before each send.
func newCurrentClient(client forward.Client, watcher *Watcher) forward.Client {
	return &currentClient{client: client, watcher: watcher}
}

// Send implements forward.Client.
func (c *currentClient) Send(ctx context.Context, backend directory.Backend, request *forward.Request) forward.Attempt {
	if c.hasLeft(ctx, backend) {
		return forward.Attempt{Outcome: forward.NotSent}
	}
	return c.client.Send(ctx, backend, request)
}

// Open implements forward.StreamClient.
func (c *currentClient) Open(ctx context.Context, backend directory.Backend, request *forward.Request, after string) forward.OpenedStream {
	if c.hasLeft(ctx, backend) {
		return forward.OpenedStream{Outcome: forward.NotSent}
	}
	return c.client.(forward.StreamClient).Open(ctx, backend, request, after)
}

// HasCrashed implements forward.CrashChecker.
func (c *currentClient) HasCrashed(ctx context.Context, backend directory.Backend) bool {
	checker, ok := c.client.(forward.CrashChecker)
	return ok && checker.HasCrashed(ctx, backend)
}

// hasLeft tells whether the backend is draining or gone by now. A process that is out of touch
// goes by what it knows.
func (c *currentClient) hasLeft(ctx context.Context, backend directory.Backend) bool {
	c.watcher.awaitCurrent(ctx, copyPatience)
	catalog := c.watcher.Catalog()
	if _, known := catalog.Services[backend.Service]; !known {
		// The configuration has dropped the service, and the request is older.
		return false
	}
	known, ok := catalog.Backend(backend.ID)
	return !ok || known.Draining || known.Address != backend.Address
}
