// Package client is the Go client of dillchute's control interface. It finds
// the leader, resends calls whose answer was lost, and keeps a trainer's
// cursor and session.
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
	// ErrUnavailable: no replica decided the call before the context ended.
	// The call may have been carried out; it may be resent with the same identity.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrRejected: the call was refused for what it says, or for the state of
	// things; resending it does not help.
	ErrRejected = namespace.NewType("rejected")
)

const (
	leaderHeader = "Dillchute-Leader"
	callTimeout  = 3 * time.Second
	retryPause   = 100 * time.Millisecond
)

// Client calls the leader of the control replicas. Its methods must not be
// called concurrently; several clients may be.
type Client struct {
	addresses []string
	current   string
	next      int
	http      *http.Client
}

// New returns a client that knows the replicas by their addresses.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, current: addresses[0], http: &http.Client{}}
}

// call tries replicas until one decides the call or the context ends. Each try
// may take callTimeout plus the extra time.
func call[Request, Response any](ctx context.Context, c *Client, extra time.Duration, request *Request,
	do func(context.Context, string, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	var last error
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout+extra)
		response, err := do(limited, "http://"+c.current, connect.NewRequest(request))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if isRejection(err) {
			return nil, ErrRejected.Wrap(err, "%s", c.current)
		}
		last = err
		c.moveOn(err)
		select {
		case <-ctx.Done():
			return nil, ErrUnavailable.Wrap(last, "no replica decided the call")
		case <-time.After(retryPause):
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

// moveOn follows the replica's word about the leader, or tries the next one.
func (c *Client) moveOn(err error) {
	var refusal *connect.Error
	if errors.As(err, &refusal) {
		if leader := refusal.Meta().Get(leaderHeader); leader != "" && leader != c.current {
			c.current = leader
			return
		}
	}
	c.next = (c.next + 1) % len(c.addresses)
	c.current = c.addresses[c.next]
}

func (c *Client) operations(address string) dillchutev1connect.OperationsClient {
	return dillchutev1connect.NewOperationsClient(c.http, address)
}

func (c *Client) rollouts(address string) dillchutev1connect.RolloutsClient {
	return dillchutev1connect.NewRolloutsClient(c.http, address)
}

// Apply calls the schema's Apply.
func (c *Client) Apply(ctx context.Context, request *dillchutev1.ApplyRequest) (*dillchutev1.ApplyResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.ApplyRequest]) (*connect.Response[dillchutev1.ApplyResponse], error) {
		return c.operations(address).Apply(ctx, r)
	})
}

// GetDeclarations calls the schema's GetDeclarations.
func (c *Client) GetDeclarations(ctx context.Context) (*dillchutev1.GetDeclarationsResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetDeclarationsRequest{}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetDeclarationsRequest]) (*connect.Response[dillchutev1.GetDeclarationsResponse], error) {
		return c.operations(address).GetDeclarations(ctx, r)
	})
}

// GetHistory calls the schema's GetHistory.
func (c *Client) GetHistory(ctx context.Context, limit uint32) (*dillchutev1.GetHistoryResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetHistoryRequest{Limit: limit}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetHistoryRequest]) (*connect.Response[dillchutev1.GetHistoryResponse], error) {
		return c.operations(address).GetHistory(ctx, r)
	})
}

// GetStatus calls the schema's GetStatus.
func (c *Client) GetStatus(ctx context.Context) (*dillchutev1.GetStatusResponse, error) {
	return call(ctx, c, 0, &dillchutev1.GetStatusRequest{}, func(ctx context.Context, address string, r *connect.Request[dillchutev1.GetStatusRequest]) (*connect.Response[dillchutev1.GetStatusResponse], error) {
		return c.operations(address).GetStatus(ctx, r)
	})
}

// DrainNode calls the schema's DrainNode.
func (c *Client) DrainNode(ctx context.Context, request *dillchutev1.DrainNodeRequest) (*dillchutev1.DrainNodeResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.DrainNodeRequest]) (*connect.Response[dillchutev1.DrainNodeResponse], error) {
		return c.operations(address).DrainNode(ctx, r)
	})
}

// DrainEngine calls the schema's DrainEngine.
func (c *Client) DrainEngine(ctx context.Context, request *dillchutev1.DrainEngineRequest) (*dillchutev1.DrainEngineResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.DrainEngineRequest]) (*connect.Response[dillchutev1.DrainEngineResponse], error) {
		return c.operations(address).DrainEngine(ctx, r)
	})
}

// ChangeMembership calls the schema's ChangeMembership.
func (c *Client) ChangeMembership(ctx context.Context, request *dillchutev1.ChangeMembershipRequest) (*dillchutev1.ChangeMembershipResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.ChangeMembershipRequest]) (*connect.Response[dillchutev1.ChangeMembershipResponse], error) {
		return c.operations(address).ChangeMembership(ctx, r)
	})
}

// SubmitStep calls the schema's SubmitStep.
func (c *Client) SubmitStep(ctx context.Context, request *dillchutev1.SubmitStepRequest) (*dillchutev1.SubmitStepResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.SubmitStepRequest]) (*connect.Response[dillchutev1.SubmitStepResponse], error) {
		return c.rollouts(address).SubmitStep(ctx, r)
	})
}

// PublishWeights calls the schema's PublishWeights.
func (c *Client) PublishWeights(ctx context.Context, request *dillchutev1.PublishWeightsRequest) (*dillchutev1.PublishWeightsResponse, error) {
	return call(ctx, c, 0, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.PublishWeightsRequest]) (*connect.Response[dillchutev1.PublishWeightsResponse], error) {
		return c.rollouts(address).PublishWeights(ctx, r)
	})
}

func (c *Client) fetch(ctx context.Context, request *dillchutev1.FetchRequest) (*dillchutev1.FetchResponse, error) {
	wait := time.Duration(request.WaitMilliseconds) * time.Millisecond
	return call(ctx, c, wait, request, func(ctx context.Context, address string, r *connect.Request[dillchutev1.FetchRequest]) (*connect.Response[dillchutev1.FetchResponse], error) {
		// Each try is a fetch of its own: an answer to an earlier one that
		// is still under way must not be taken.
		r.Msg.Sequence++
		return c.rollouts(address).Fetch(ctx, r)
	})
}
