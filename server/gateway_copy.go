package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/routing"
)

// directoryUnreachable is the reason for rejecting a request that must not be repeated, while the gateway's
// copy of the directory is stale and no replica answers.
const directoryUnreachable forward.Reason = "out_of_touch"

// freshCatalog returns the gateway's copy of the directory, after refreshing it if it is stale.
func (g *Gateway) freshCatalog(ctx context.Context) *directory.Catalog {
	g.awaitFirstConfiguration(ctx)
	g.watcher.awaitFreshCopy(ctx, maxCopyWait)
	return g.watcher.Catalog()
}

// newestCatalog returns the newest copy, which may be newer than the one that the request was matched with:
// its body may have taken long to arrive.
func (g *Gateway) newestCatalog(matched *directory.Catalog) *directory.Catalog {
	if newest := g.watcher.Catalog(); newest.Revision > matched.Revision {
		return newest
	}
	return matched
}

// refuseIfUnreachable returns the result for a request that must not be repeated if the copy is stale and the
// directory is unreachable. Otherwise the result has no reason, and the request may be sent.
func (g *Gateway) refuseIfUnreachable(ctx context.Context, route routing.Route) forward.Result {
	if isRepeatable(route) || g.watcher.awaitFreshCopy(ctx, refreshTimeout) != copyUnreachable {
		return forward.Result{}
	}
	return forward.Result{Reason: directoryUnreachable}
}

// isRepeatable reports whether a request of the route is retried on another backend if its backend crashes.
func isRepeatable(route routing.Route) bool {
	return route.Kind == routing.Repeatable || route.Kind == routing.Streaming && route.Resumable
}
