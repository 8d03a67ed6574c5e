package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/api/dillchute/v1/dillchutev1connect"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/declaration"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"github.com/dillchute/dillchute/transport"
)

// LeaderHeader is the header in which a replica that is not the leader returns the leader's address.
const LeaderHeader = "Dillchute-Leader"

// Limits of request fields.
const (
	maxBodyBytes     = 64 << 20
	maxStepSamples   = 65536
	maxPromptBytes   = 1 << 20
	maxSampleTokens  = 1 << 20
	maxFetchSamples  = 16384
	maxFetchWait     = 60 * time.Second
	maxDeclaredPools = 1024
	maxIdentityBytes = 256
)

func (c *Control) routes() http.Handler {
	router := mux.NewRouter()
	router.Handle(transport.Path, intake.Streaming(c.transport)).Methods(http.MethodPost)
	limit := connect.WithReadMaxBytes(maxBodyBytes)
	path, handler := dillchutev1connect.NewOperationsHandler(operations{c}, limit)
	router.PathPrefix(path).Handler(c.intake.LimitBodies(handler))
	path, handler = dillchutev1connect.NewRolloutsHandler(rollouts{c}, limit)
	router.PathPrefix(path).Handler(c.intake.LimitBodies(handler))
	addOperationalRoutes(router, func() bool { return c.status.Load().ready }, c.registry(), c.settings.Pprof)
	return router
}

func invalidArgument(format string, arguments ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, arguments...))
}

// request calls the core and returns an error if the call was not completed. All calls carry identities or
// are idempotent, so callers may retry them.
func (c *Control) request(ctx context.Context, start func(id uint64)) (control.Reply, error) {
	reply, ok := c.call(ctx, start)
	if ok && reply.Outcome == protocol.ProposeDone {
		return reply, nil
	}
	err := connect.NewError(connect.CodeUnavailable, fmt.Errorf("this replica did not complete the call; it may not be the leader"))
	err.Meta().Set(LeaderHeader, reply.Leader)
	return reply, err
}

func (c *Control) commit(ctx context.Context, command state.Command) (state.Result, error) {
	reply, err := c.request(ctx, func(id uint64) { c.core.Propose(c.clock(), id, command) })
	return reply.Result, err
}

func (c *Control) read(ctx context.Context) (*control.View, error) {
	reply, err := c.request(ctx, func(id uint64) { c.core.Read(c.clock(), id) })
	return reply.View, err
}

// operations serves the schema's Operations.
type operations struct{ *Control }

// Apply implements the schema's Apply.
func (o operations) Apply(ctx context.Context, request *connect.Request[dillchutev1.ApplyRequest]) (*connect.Response[dillchutev1.ApplyResponse], error) {
	message := request.Msg
	if message.ChangeId == "" || len(message.ChangeId) > maxIdentityBytes {
		return nil, invalidArgument("change_id: must be 1 to %d bytes", maxIdentityBytes)
	}
	if len(message.Pools) > maxDeclaredPools {
		return nil, invalidArgument("pools: must be at most %d", maxDeclaredPools)
	}
	command := &state.Apply{
		ChangeID: message.ChangeId, Base: message.BaseRevision, SourceCommit: message.SourceCommit, Author: message.Author,
	}
	for _, pool := range message.Pools {
		command.Pools = append(command.Pools, declaration.FromProto(pool))
	}
	if problems := state.ValidatePools(command.Pools); len(problems) > 0 {
		response := &dillchutev1.ApplyResponse{Outcome: dillchutev1.ApplyOutcome_APPLY_OUTCOME_INVALID}
		for _, problem := range problems {
			response.Problems = append(response.Problems, problem.String())
		}
		return connect.NewResponse(response), nil
	}
	result, err := o.commit(ctx, state.Command{Apply: command})
	if err != nil {
		return nil, err
	}
	response := &dillchutev1.ApplyResponse{
		Outcome: dillchutev1.ApplyOutcome(result.Apply.Outcome), Revision: result.Apply.Revision,
	}
	if result.Apply.Winner != nil {
		response.Winner = changeToProto(*result.Apply.Winner)
	}
	return connect.NewResponse(response), nil
}

func changeToProto(change state.Change) *dillchutev1.Change {
	return &dillchutev1.Change{
		Revision: change.Revision, ChangeId: change.ChangeID, SourceCommit: change.SourceCommit,
		Author: change.Author, AcceptedUnixMilliseconds: change.AcceptedAt,
	}
}

// GetDeclarations implements the schema's GetDeclarations.
func (o operations) GetDeclarations(ctx context.Context, _ *connect.Request[dillchutev1.GetDeclarationsRequest]) (*connect.Response[dillchutev1.GetDeclarationsResponse], error) {
	view, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	response := &dillchutev1.GetDeclarationsResponse{Revision: view.Declared}
	for _, pool := range view.Pools {
		response.Pools = append(response.Pools, declaration.ToProto(pool))
	}
	return connect.NewResponse(response), nil
}

// GetHistory implements the schema's GetHistory.
func (o operations) GetHistory(ctx context.Context, request *connect.Request[dillchutev1.GetHistoryRequest]) (*connect.Response[dillchutev1.GetHistoryResponse], error) {
	view, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	response := &dillchutev1.GetHistoryResponse{}
	for position := len(view.History) - 1; position >= 0; position-- {
		if limit := request.Msg.Limit; limit > 0 && len(response.Changes) >= int(limit) {
			break
		}
		response.Changes = append(response.Changes, changeToProto(view.History[position]))
	}
	return connect.NewResponse(response), nil
}

// GetStatus implements the schema's GetStatus.
func (o operations) GetStatus(ctx context.Context, _ *connect.Request[dillchutev1.GetStatusRequest]) (*connect.Response[dillchutev1.GetStatusResponse], error) {
	view, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(statusToProto(view)), nil
}

func statusToProto(view *control.View) *dillchutev1.GetStatusResponse {
	response := &dillchutev1.GetStatusResponse{Term: view.Term, CommitIndex: view.Commit, Revision: view.Declared}
	for _, replica := range view.Replicas {
		response.Replicas = append(response.Replicas, &dillchutev1.ReplicaStatus{
			Id: fmt.Sprint(replica.Member.ID), Address: replica.Member.Address, Voter: replica.Member.Voter,
			Leader: replica.Leader, MatchIndex: replica.Match,
		})
	}
	for _, node := range view.Nodes {
		response.Nodes = append(response.Nodes, &dillchutev1.NodeStatus{
			Id: node.Node.ID, Zone: node.Node.Zone, Address: node.Node.Address, Epoch: node.Node.Epoch,
			Draining: node.Node.Draining, Revision: node.Revision, Engines: uint32(node.Engines),
			Running: uint32(node.Summary.Running), Queued: uint32(node.Summary.Queued),
		})
		if node.Revision < view.Declared {
			response.NodesBehind = append(response.NodesBehind, node.Node.ID)
		}
	}
	for _, engine := range view.Engines {
		response.Engines = append(response.Engines, &dillchutev1.EngineStatus{
			Id: engine.ID, Zone: engine.Zone, Group: engine.Group, Owner: engine.Owner,
			Epoch: engine.Epoch, Leaving: engine.Draining(),
		})
	}
	for _, ledger := range view.Ledgers {
		response.Pools = append(response.Pools, &dillchutev1.PoolStatus{
			Name: ledger.Pool, NewestVersion: ledger.Newest, Pending: uint64(ledger.Pending),
			Assigned: uint64(ledger.Assigned), Completed: uint64(ledger.Completed),
			Acknowledged: ledger.Counters.Acknowledged, StaleRerun: ledger.Counters.StaleReruns,
			Condition: condition(ledger),
		})
	}
	return response
}

func condition(ledger control.LedgerView) string {
	switch {
	case ledger.Engines == 0:
		return "NoEngines"
	case ledger.Newest == 0:
		return "NoVersion"
	}
	return "Ready"
}

// DrainNode implements the schema's DrainNode.
func (o operations) DrainNode(ctx context.Context, request *connect.Request[dillchutev1.DrainNodeRequest]) (*connect.Response[dillchutev1.DrainNodeResponse], error) {
	result, err := o.commit(ctx, state.Command{DrainNode: &state.DrainNode{ID: request.Msg.Node, Draining: request.Msg.Draining}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&dillchutev1.DrainNodeResponse{Found: result.Found}), nil
}

// DrainEngine implements the schema's DrainEngine.
func (o operations) DrainEngine(ctx context.Context, request *connect.Request[dillchutev1.DrainEngineRequest]) (*connect.Response[dillchutev1.DrainEngineResponse], error) {
	result, err := o.commit(ctx, state.Command{DrainEngine: &state.DrainEngine{ID: request.Msg.Engine, Leaving: request.Msg.Leaving}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&dillchutev1.DrainEngineResponse{Found: result.Found}), nil
}

// ChangeMembership implements the schema's ChangeMembership.
func (o operations) ChangeMembership(ctx context.Context, request *connect.Request[dillchutev1.ChangeMembershipRequest]) (*connect.Response[dillchutev1.ChangeMembershipResponse], error) {
	if _, err := o.read(ctx); err != nil {
		return nil, err
	}
	var id uint64
	if _, err := fmt.Sscan(request.Msg.Replica, &id); err != nil || id == 0 {
		return nil, invalidArgument("replica: must be a positive number")
	}
	accepted := make(chan bool, 1)
	queued := o.loop.Submit(func() { accepted <- o.changeMembership(request.Msg, consensus.ReplicaID(id)) })
	if !queued {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the replica is stopping"))
	}
	response := &dillchutev1.ChangeMembershipResponse{Accepted: <-accepted}
	if !response.Accepted {
		response.Reason = "another change is in progress, or the change would not improve the group"
	}
	return connect.NewResponse(response), nil
}

func (c *Control) changeMembership(message *dillchutev1.ChangeMembershipRequest, id consensus.ReplicaID) bool {
	if message.Action == dillchutev1.MembershipAction_MEMBERSHIP_ACTION_TRANSFER_LEADERSHIP {
		return c.core.TransferLeadership(id)
	}
	return c.core.ChangeMembership(consensus.MembershipChange{
		Action: consensus.MembershipAction(message.Action), ID: id, Address: message.Address,
	})
}

// rollouts serves the schema's Rollouts.
type rollouts struct{ *Control }

// SubmitStep implements the schema's SubmitStep.
func (r rollouts) SubmitStep(ctx context.Context, request *connect.Request[dillchutev1.SubmitStepRequest]) (*connect.Response[dillchutev1.SubmitStepResponse], error) {
	command, err := submitFromProto(request.Msg)
	if err != nil {
		return nil, err
	}
	result, err := r.commit(ctx, state.Command{SubmitStep: command})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(submitToProto(result.Submit.Outcome)), nil
}

func submitFromProto(message *dillchutev1.SubmitStepRequest) (*state.SubmitStep, error) {
	if message.Step == 0 {
		return nil, invalidArgument("step: must be at least 1")
	}
	if len(message.Samples) == 0 || len(message.Samples) > maxStepSamples {
		return nil, invalidArgument("samples: must be 1 to %d", maxStepSamples)
	}
	command := &state.SubmitStep{Pool: message.Pool, Step: message.Step}
	seen := make(map[uint32]bool, len(message.Samples))
	for position, sample := range message.Samples {
		switch {
		case seen[sample.Index]:
			return nil, invalidArgument("samples[%d].index: %d is a duplicate", position, sample.Index)
		case sample.MaxTokens == 0 || sample.MaxTokens > maxSampleTokens:
			return nil, invalidArgument("samples[%d].max_tokens: must be 1 to %d", position, maxSampleTokens)
		case len(sample.Prompt) > maxPromptBytes:
			return nil, invalidArgument("samples[%d].prompt: must be at most %d bytes", position, maxPromptBytes)
		}
		seen[sample.Index] = true
		command.Prompts = append(command.Prompts, state.Prompt{
			Index: sample.Index, Prompt: sample.Prompt, MaxTokens: sample.MaxTokens,
		})
	}
	return command, nil
}

func submitToProto(outcome state.SubmitOutcome) *dillchutev1.SubmitStepResponse {
	switch outcome {
	case state.SubmitAccepted:
		return &dillchutev1.SubmitStepResponse{Accepted: true}
	case state.SubmitDuplicate:
		return &dillchutev1.SubmitStepResponse{Accepted: true, Duplicate: true}
	case state.SubmitUnknownPool:
		return &dillchutev1.SubmitStepResponse{Reason: "unknown_pool"}
	case state.SubmitIdentityReused:
		return &dillchutev1.SubmitStepResponse{Reason: "step_reused"}
	case state.SubmitExpired:
		return &dillchutev1.SubmitStepResponse{Reason: "step_expired"}
	}
	return &dillchutev1.SubmitStepResponse{Reason: "internal"}
}

// Fetch implements the schema's Fetch.
func (r rollouts) Fetch(ctx context.Context, request *connect.Request[dillchutev1.FetchRequest]) (*connect.Response[dillchutev1.FetchResponse], error) {
	message := request.Msg
	if message.MaxSamples == 0 || message.MaxSamples > maxFetchSamples {
		return nil, invalidArgument("max_samples: must be 1 to %d", maxFetchSamples)
	}
	wait := min(int64(message.WaitMilliseconds), maxFetchWait.Milliseconds())
	command := &state.Fetch{
		Pool: message.Pool, Session: message.Session, Sequence: message.Sequence,
		Cursor: message.Cursor, HeldVersion: message.HeldVersion, Max: int(message.MaxSamples),
	}
	reply, err := r.request(ctx, func(id uint64) { r.core.Fetch(r.clock(), id, command, wait) })
	if err != nil {
		return nil, err
	}
	result := reply.Result.Fetch
	response := &dillchutev1.FetchResponse{Valid: result.Valid, NewestVersion: result.Newest}
	for _, delivery := range result.Deliveries {
		response.Samples = append(response.Samples, deliveryToProto(delivery))
	}
	return connect.NewResponse(response), nil
}

func deliveryToProto(delivery state.Delivery) *dillchutev1.Sample {
	completion := delivery.Completion
	sample := &dillchutev1.Sample{
		Delivery: delivery.Number, Step: completion.Key.Step, Index: completion.Key.Index,
		Tokens: state.UnpackTokens(completion.Tokens), Reward: completion.Reward,
	}
	for _, segment := range completion.Segments {
		sample.Segments = append(sample.Segments, &dillchutev1.Segment{
			Version: segment.Version, FirstToken: segment.First, Count: segment.Count,
		})
	}
	return sample
}

// PublishWeights implements the schema's PublishWeights.
func (r rollouts) PublishWeights(ctx context.Context, request *connect.Request[dillchutev1.PublishWeightsRequest]) (*connect.Response[dillchutev1.PublishWeightsResponse], error) {
	if request.Msg.Model == "" || request.Msg.Version == 0 {
		return nil, invalidArgument("model and version: must be set")
	}
	result, err := r.commit(ctx, state.Command{PublishVersion: &state.PublishVersion{
		Model: request.Msg.Model, Version: request.Msg.Version,
	}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&dillchutev1.PublishWeightsResponse{
		Accepted: result.Publish.Accepted, NewestVersion: result.Publish.Newest,
	}), nil
}
