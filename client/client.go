// Package client is the Go client of dillchute's control API. It finds the leader,
// retries failed calls, and tracks a trainer's cursor and session.
package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/api/dillchute/v1/dillchutev1connect"
)

var (
	namespace = errorx.NewNamespace("client")
	// ErrUnavailable: no replica completed the call before the context ended. The
	// call may have been executed; it can be retried with the same ID.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrRejected: the call is invalid or not possible in the current state; a
	// retry does not help.
	ErrRejected = namespace.NewType("rejected")
)

const (
	leaderHeader  = "Dillchute-Leader"
	callTimeout   = 3 * time.Second
	retryInterval = 100 * time.Millisecond
	// maxResponseBytes bounds each response.
	maxResponseBytes = 128 << 20
)

// Client calls the leader of the control replicas. It is not safe for concurrent use.
type Client struct {
	addresses []string
	current   string
	nextIndex int
	http      *http.Client
}

// New returns a client for the control replicas with the given addresses.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, current: addresses[0], http: &http.Client{}}
}

// call tries replicas until one completes or rejects the call or the context ends.
// Each attempt may take callTimeout plus extraTimeout.
func call[Request, Response any](ctx context.Context, c *Client, extraTimeout time.Duration, request *Request,
	send func(context.Context, string, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	var lastErr error
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout+extraTimeout)
		response, err := send(callCtx, "http://"+c.current, connect.NewRequest(request))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if isRejection(err) {
			return nil, ErrRejected.Wrap(err, "%s", c.current)
		}
		lastErr = err
		c.selectNextReplica(err)
		select {
		case <-ctx.Done():
			return nil, ErrUnavailable.Wrap(lastErr, "no replica completed the call")
		case <-time.After(retryInterval):
		}
	}
}

func isRejection(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented, connect.CodeNotFound, connect.CodeResourceExhausted:
		return true
	}
	return false
}

// selectNextReplica switches to the leader named in the error, or else to the next replica.
func (c *Client) selectNextReplica(err error) {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		if leader := connectErr.Meta().Get(leaderHeader); leader != "" && leader != c.current {
			c.current = leader
			return
		}
	}
	c.nextIndex = (c.nextIndex + 1) % len(c.addresses)
	c.current = c.addresses[c.nextIndex]
}

func (c *Client) operations(address string) dillchutev1connect.OperationsClient {
	return dillchutev1connect.NewOperationsClient(c.http, address, connect.WithReadMaxBytes(maxResponseBytes))
}

func (c *Client) rollouts(address string) dillchutev1connect.RolloutsClient {
	return dillchutev1connect.NewRolloutsClient(c.http, address, connect.WithReadMaxBytes(maxResponseBytes))
}

// Apply replaces the declared pools if the request's base revision is current.
func (c *Client) Apply(ctx context.Context, request *dillchutev1.ApplyRequest) (*dillchutev1.ApplyResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.ApplyRequest]) (*connect.Response[dillchutev1.ApplyResponse], error) {
		return c.operations(address).Apply(ctx, r)
	})
}

// GetDeclarations returns the declared pools and their revision.
func (c *Client) GetDeclarations(ctx context.Context) (*dillchutev1.GetDeclarationsResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetDeclarationsRequest{}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetDeclarationsRequest]) (*connect.Response[dillchutev1.GetDeclarationsResponse], error) {
		return c.operations(address).GetDeclarations(ctx, r)
	})
}

// GetHistory returns the last accepted changes, newest first.
func (c *Client) GetHistory(ctx context.Context, limit uint32) (*dillchutev1.GetHistoryResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetHistoryRequest{Limit: limit}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetHistoryRequest]) (*connect.Response[dillchutev1.GetHistoryResponse], error) {
		return c.operations(address).GetHistory(ctx, r)
	})
}

// GetStatus returns the status of replicas, nodes, engines and pools.
func (c *Client) GetStatus(ctx context.Context) (*dillchutev1.GetStatusResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetStatusRequest{}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetStatusRequest]) (*connect.Response[dillchutev1.GetStatusResponse], error) {
		return c.operations(address).GetStatus(ctx, r)
	})
}

// DrainNode sets or clears a node's draining flag.
func (c *Client) DrainNode(ctx context.Context, request *dillchutev1.DrainNodeRequest) (*dillchutev1.DrainNodeResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.DrainNodeRequest]) (*connect.Response[dillchutev1.DrainNodeResponse], error) {
		return c.operations(address).DrainNode(ctx, r)
	})
}

// DrainEngine sets or clears an engine's draining flag.
func (c *Client) DrainEngine(ctx context.Context, request *dillchutev1.DrainEngineRequest) (*dillchutev1.DrainEngineResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.DrainEngineRequest]) (*connect.Response[dillchutev1.DrainEngineResponse], error) {
		return c.operations(address).DrainEngine(ctx, r)
	})
}

// ChangeMembership adds, promotes or removes a control replica.
func (c *Client) ChangeMembership(ctx context.Context, request *dillchutev1.ChangeMembershipRequest) (*dillchutev1.ChangeMembershipResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.ChangeMembershipRequest]) (*connect.Response[dillchutev1.ChangeMembershipResponse], error) {
		return c.operations(address).ChangeMembership(ctx, r)
	})
}

// SubmitStep submits the prompts of one training step.
func (c *Client) SubmitStep(ctx context.Context, request *dillchutev1.SubmitStepRequest) (*dillchutev1.SubmitStepResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.SubmitStepRequest]) (*connect.Response[dillchutev1.SubmitStepResponse], error) {
		return c.rollouts(address).SubmitStep(ctx, r)
	})
}

// PublishWeights publishes a new weight version of a model.
func (c *Client) PublishWeights(ctx context.Context, request *dillchutev1.PublishWeightsRequest) (*dillchutev1.PublishWeightsResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.PublishWeightsRequest]) (*connect.Response[dillchutev1.PublishWeightsResponse], error) {
		return c.rollouts(address).PublishWeights(ctx, r)
	})
}

func (c *Client) fetch(ctx context.Context, request *dillchutev1.FetchRequest) (*dillchutev1.FetchResponse, error) {
	wait := time.Duration(request.WaitMilliseconds) * time.Millisecond
	return call(ctx, c, wait, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.FetchRequest]) (*connect.Response[dillchutev1.FetchResponse], error) {
		// Each attempt has its own sequence number, so that a delayed earlier
		// attempt becomes invalid.
		r.Msg.Sequence++
		return c.rollouts(address).Fetch(ctx, r)
	})
}
