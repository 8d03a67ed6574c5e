package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/routing"
)

// outOfTouch is the reason of a request that must not be repeated, at a gateway whose copy of the
// directory is too old while no replica answers.
const outOfTouch forward.Reason = "out_of_touch"

// currentConfiguration returns the directory as the gateway knows it, after the directory was asked
// where the copy is too old.
func (g *Gateway) currentConfiguration(ctx context.Context) *directory.Catalog {
	g.awaitFirstConfiguration(ctx)
	g.watcher.awaitCurrent(ctx, copyPatience)
	return g.watcher.Catalog()
}

// newest returns the newest copy, for a request that was matched by another one: its body may have
// taken long to come.
func (g *Gateway) newest(matched *directory.Catalog) *directory.Catalog {
	if newest := g.watcher.Catalog(); newest.Revision > matched.Revision {
		return newest
	}
	return matched
}

// refuseOutOfTouch returns the result of a request that must not be sent by a copy that is too old,
// without a reason for one that may be sent.
func (g *Gateway) refuseOutOfTouch(ctx context.Context, route routing.Route) forward.Result {
	if isRepeatable(route) || g.watcher.awaitCurrent(ctx, questionTimeout) != copyOutOfTouch {
		return forward.Result{}
	}
	return forward.Result{Reason: outOfTouch}
}

// isRepeatable tells whether a request of the route is served elsewhere if its backend ends.
func isRepeatable(route routing.Route) bool {
	return route.Kind == routing.Repeatable || route.Kind == routing.Streaming && route.Resumable
}
