package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
)

// freshClient checks a fresh copy of the directory before each send, and sends nothing to backends that are
// draining or removed. A request may be retried long after its backends were selected.
type freshClient struct {
	client  forward.Client
	watcher *Watcher
}

// newFreshClient returns a client that wraps the given one.
func newFreshClient(client forward.Client, watcher *Watcher) forward.Client {
	return &freshClient{client: client, watcher: watcher}
}

// Send implements forward.Client.
func (c *freshClient) Send(ctx context.Context, backend directory.Backend, request *forward.Request) forward.Attempt {
	if c.hasLeft(ctx, backend) {
		return forward.Attempt{Outcome: forward.NotSent}
	}
	return c.client.Send(ctx, backend, request)
}

// Open implements forward.StreamClient.
func (c *freshClient) Open(ctx context.Context, backend directory.Backend, request *forward.Request, after string) forward.OpenedStream {
	if c.hasLeft(ctx, backend) {
		return forward.OpenedStream{Outcome: forward.NotSent}
	}
	return c.client.(forward.StreamClient).Open(ctx, backend, request, after)
}

// HasCrashed implements forward.CrashChecker.
func (c *freshClient) HasCrashed(ctx context.Context, backend directory.Backend) bool {
	checker, ok := c.client.(forward.CrashChecker)
	return ok && checker.HasCrashed(ctx, backend)
}

// hasLeft reports whether the backend is draining or removed. If the directory is unreachable, it uses the
// existing copy.
func (c *freshClient) hasLeft(ctx context.Context, backend directory.Backend) bool {
	c.watcher.awaitFreshCopy(ctx, maxCopyWait)
	catalog := c.watcher.Catalog()
	if _, known := catalog.Services[backend.Service]; !known {
		// The configuration removed the service after the request arrived.
		return false
	}
	known, ok := catalog.Backend(backend.ID)
	return !ok || known.Draining || known.Address != backend.Address
}
