package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/client"
	"github.com/dillchute/dillchute/declaration"
	"github.com/dillchute/dillchute/state"
)

// connection holds the flags of commands that call the control replicas.
type connection struct {
	Controls []string      `required:"" env:"DILLCHUTE_CONTROLS" help:"Addresses of the control replicas."`
	Timeout  time.Duration `default:"10s" help:"How long to try."`
}

func (c connection) open(ctx context.Context) (*client.Client, context.Context, context.CancelFunc) {
	callContext, cancel := context.WithTimeout(ctx, c.Timeout)
	return client.New(c.Controls), callContext, cancel
}

func printMessage(out io.Writer, message proto.Message) {
	fmt.Fprintln(out, protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Format(message))
}

type validateCommand struct {
	Folder string `arg:"" help:"Folder of declarations." type:"path"`
}

// Run checks the declarations of a folder.
func (c validateCommand) Run(streams Streams) error {
	pools, err := declaration.Load(c.Folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%d pools are valid\n", len(pools))
	return nil
}

type diffCommand struct {
	connection
	Folder string `arg:"" help:"Folder of declarations." type:"path"`
}

// Run prints the differences between the declarations in force and a folder's.
func (c diffCommand) Run(ctx context.Context, streams Streams) error {
	pools, err := declaration.Load(c.Folder)
	if err != nil {
		return err
	}
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	current, err := controls.GetDeclarations(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "revision %d\n", current.Revision)
	for _, line := range diffPools(current.Pools, pools) {
		fmt.Fprintln(streams.Out, line)
	}
	return nil
}

// diffPools describes the changes, one line for each pool or field.
func diffPools(current []*dillchutev1.PoolSpec, desired []state.PoolSpec) []string {
	var lines []string
	remaining := map[string]*dillchutev1.PoolSpec{}
	for _, pool := range current {
		remaining[pool.Name] = pool
	}
	for _, spec := range desired {
		pool := declaration.ToProto(spec)
		before := remaining[pool.Name]
		delete(remaining, pool.Name)
		if before == nil {
			lines = append(lines, "+ pool "+pool.Name)
			continue
		}
		lines = append(lines, diffFields(before, pool)...)
	}
	for _, pool := range current {
		if remaining[pool.Name] != nil {
			lines = append(lines, "- pool "+pool.Name)
		}
	}
	return lines
}

func diffFields(before, after *dillchutev1.PoolSpec) []string {
	var lines []string
	fields := before.ProtoReflect().Descriptor().Fields()
	for position := range fields.Len() {
		field := fields.Get(position)
		old, new := before.ProtoReflect().Get(field), after.ProtoReflect().Get(field)
		if !old.Equal(new) {
			lines = append(lines, fmt.Sprintf("~ pool %s: %s: %v -> %v", before.Name, field.Name(), old, new))
		}
	}
	return lines
}

type applyCommand struct {
	connection
	Folder   string        `arg:"" help:"Folder of declarations." type:"path"`
	Base     *uint64       `help:"Revision that the change builds on; the newest one if not given."`
	ChangeID string        `help:"Identity of the change; give the same one to resend it. Made up if not given."`
	Commit   string        `help:"Commit of version control that the folder was taken from."`
	Author   string        `env:"USER" help:"Who makes the change."`
	Wait     bool          `help:"Return when the change is in force on every node."`
	WaitTime time.Duration `default:"30s" help:"How long to wait with --wait."`
}

const changeIDBytes = 16

// Run puts a folder's declarations into force.
func (c applyCommand) Run(ctx context.Context, streams Streams) error {
	pools, err := declaration.Load(c.Folder)
	if err != nil {
		return err
	}
	controls, callContext, cancel := c.open(ctx)
	defer cancel()
	request, err := c.newRequest(callContext, controls, pools)
	if err != nil {
		return err
	}
	response, err := controls.Apply(callContext, request)
	if err != nil {
		return err
	}
	if err := c.printOutcome(callContext, streams, controls, response, pools); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.waitUntilInForce(ctx, streams, controls, response.Revision)
}

func (c applyCommand) newRequest(ctx context.Context, controls *client.Client, pools []state.PoolSpec) (*dillchutev1.ApplyRequest, error) {
	request := &dillchutev1.ApplyRequest{ChangeId: c.ChangeID, SourceCommit: c.Commit, Author: c.Author}
	if request.ChangeId == "" {
		id := make([]byte, changeIDBytes)
		// crypto/rand.Read never fails.
		_, _ = rand.Read(id)
		request.ChangeId = hex.EncodeToString(id)
	}
	if c.Base != nil {
		request.BaseRevision = *c.Base
	} else {
		current, err := controls.GetDeclarations(ctx)
		if err != nil {
			return nil, err
		}
		request.BaseRevision = current.Revision
	}
	for _, pool := range pools {
		request.Pools = append(request.Pools, declaration.ToProto(pool))
	}
	return request, nil
}

func (c applyCommand) printOutcome(ctx context.Context, streams Streams, controls *client.Client, response *dillchutev1.ApplyResponse, pools []state.PoolSpec) error {
	switch response.Outcome {
	case dillchutev1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		fmt.Fprintf(streams.Out, "accepted as revision %d\n", response.Revision)
		return nil
	case dillchutev1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		fmt.Fprintf(streams.Out, "unchanged at revision %d\n", response.Revision)
		return nil
	case dillchutev1.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
		return c.conflictError(ctx, controls, response, pools)
	case dillchutev1.ApplyOutcome_APPLY_OUTCOME_IDENTITY_REUSED:
		return ErrFailed.New("the change identity was used before with other content")
	}
	return ErrFailed.New("invalid: %s", strings.Join(response.Problems, "; "))
}

func (c applyCommand) conflictError(ctx context.Context, controls *client.Client, response *dillchutev1.ApplyResponse, pools []state.PoolSpec) error {
	message := fmt.Sprintf("conflict: revision %d is in force", response.Revision)
	if winner := response.Winner; winner != nil {
		message += fmt.Sprintf("; change %s by %q from commit %q was applied to the same base as revision %d",
			winner.ChangeId, winner.Author, winner.SourceCommit, winner.Revision)
	}
	if current, err := controls.GetDeclarations(ctx); err == nil {
		for _, line := range diffPools(current.Pools, pools) {
			message += "\n" + line
		}
	}
	return ErrFailed.New("%s", message)
}

const waitPollInterval = 100 * time.Millisecond

// waitUntilInForce waits until each node has acknowledged the revision or has
// lost its lease.
func (c applyCommand) waitUntilInForce(ctx context.Context, streams Streams, controls *client.Client, revision uint64) error {
	waitContext, cancel := context.WithTimeout(ctx, c.WaitTime)
	defer cancel()
	startedAt := time.Now()
	for {
		status, err := controls.GetStatus(waitContext)
		if err != nil {
			return err
		}
		var pending []string
		for _, node := range status.Nodes {
			if node.Revision < revision {
				pending = append(pending, node.Id)
			}
		}
		if len(pending) == 0 {
			fmt.Fprintf(streams.Out, "in force on %d nodes after %s\n", len(status.Nodes), time.Since(startedAt).Round(time.Millisecond))
			return nil
		}
		select {
		case <-waitContext.Done():
			return ErrFailed.New("not in force yet on %s", strings.Join(pending, ", "))
		case <-time.After(waitPollInterval):
		}
	}
}

type getCommand struct{ connection }

// poolDocument is a pool in the format of a declarations file.
type poolDocument struct {
	Name                 string `yaml:"name"`
	Model                string `yaml:"model"`
	EngineGroup          string `yaml:"engine_group"`
	WeightPolicy         string `yaml:"weight_policy"`
	MaxStalenessVersions uint64 `yaml:"max_staleness_versions"`
	MaxStaleness         string `yaml:"max_staleness"`
	SamplePriority       uint32 `yaml:"sample_priority"`
	LivePriority         uint32 `yaml:"live_priority"`
	MaxQueuedRequests    uint32 `yaml:"max_queued_requests"`
	MaxQueuedTokens      uint64 `yaml:"max_queued_tokens"`
	RetryPercent         uint32 `yaml:"retry_percent"`
	MaxSwappingPercent   uint32 `yaml:"max_swapping_percent"`
	Disconnected         string `yaml:"disconnected"`
}

type poolsDocument struct {
	Pools []poolDocument `yaml:"pools"`
}

func enumName(name, prefix string) string { return strings.ToLower(strings.TrimPrefix(name, prefix)) }

// Run prints the declarations in force in the format of a declarations file.
func (c getCommand) Run(ctx context.Context, streams Streams) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	current, err := controls.GetDeclarations(ctx)
	if err != nil {
		return err
	}
	var document poolsDocument
	for _, pool := range current.Pools {
		document.Pools = append(document.Pools, poolDocument{
			Name: pool.Name, Model: pool.Model, EngineGroup: pool.EngineGroup,
			WeightPolicy:         enumName(pool.WeightPolicy.String(), "WEIGHT_POLICY_"),
			MaxStalenessVersions: pool.MaxStalenessVersions,
			MaxStaleness:         (time.Duration(pool.MaxStalenessMilliseconds) * time.Millisecond).String(),
			SamplePriority:       pool.SamplePriority, LivePriority: pool.LivePriority,
			MaxQueuedRequests: pool.MaxQueuedRequests, MaxQueuedTokens: pool.MaxQueuedTokens,
			RetryPercent: pool.RetryPercent, MaxSwappingPercent: pool.MaxSwappingPercent,
			Disconnected: enumName(pool.Disconnected.String(), "DISCONNECTED_POLICY_"),
		})
	}
	data, err := yaml.Marshal(document)
	if err != nil {
		return ErrFailed.Wrap(err, "encode")
	}
	fmt.Fprintf(streams.Out, "# revision %d\n%s", current.Revision, data)
	return nil
}

type historyCommand struct {
	connection
	Limit uint32 `default:"20" help:"Number of changes to print."`
}

// Run prints the newest accepted changes.
func (c historyCommand) Run(ctx context.Context, streams Streams) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	history, err := controls.GetHistory(ctx, c.Limit)
	if err != nil {
		return err
	}
	for _, change := range history.Changes {
		acceptedAt := time.UnixMilli(change.AcceptedUnixMilliseconds).UTC().Format(time.RFC3339)
		fmt.Fprintf(streams.Out, "%d\t%s\t%s\t%s\t%s\n", change.Revision, acceptedAt, change.ChangeId, change.Author, change.SourceCommit)
	}
	return nil
}

type statusCommand struct {
	connection
	JSON bool `help:"Print JSON."`
}

// Run prints replicas, nodes, engines and pools.
func (c statusCommand) Run(ctx context.Context, streams Streams) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	status, err := controls.GetStatus(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		printMessage(streams.Out, status)
		return nil
	}
	fmt.Fprintf(streams.Out, "term %d, commit %d, revision %d, nodes behind: %d\n",
		status.Term, status.CommitIndex, status.Revision, len(status.NodesBehind))
	for _, replica := range status.Replicas {
		fmt.Fprintf(streams.Out, "replica\t%s\t%s\tvoter=%t\tleader=%t\tmatch=%d\n",
			replica.Id, replica.Address, replica.Voter, replica.Leader, replica.MatchIndex)
	}
	for _, node := range status.Nodes {
		fmt.Fprintf(streams.Out, "node\t%s\t%s\t%s\trevision=%d\tengines=%d\trunning=%d\tqueued=%d\tdraining=%t\n",
			node.Id, node.Zone, node.Address, node.Revision, node.Engines, node.Running, node.Queued, node.Draining)
	}
	for _, engine := range status.Engines {
		fmt.Fprintf(streams.Out, "engine\t%s\t%s\t%s\towner=%s\tepoch=%d\tleaving=%t\n",
			engine.Id, engine.Zone, engine.Group, engine.Owner, engine.Epoch, engine.Leaving)
	}
	for _, pool := range status.Pools {
		fmt.Fprintf(streams.Out, "pool\t%s\t%s\tversion=%d\tpending=%d\tassigned=%d\tcompleted=%d\tacknowledged=%d\n",
			pool.Name, pool.Condition, pool.NewestVersion, pool.Pending, pool.Assigned, pool.Completed, pool.Acknowledged)
	}
	return nil
}

type drainCommand struct {
	Node   drainNodeCommand   `cmd:"" help:"Tell a node to give its engines away and take no new samples."`
	Engine drainEngineCommand `cmd:"" help:"Mark an engine as leaving."`
}

type drainNodeCommand struct {
	connection
	ID   string `arg:"" help:"Name of the node."`
	Undo bool   `help:"Take the mark back."`
}

// Run drains a node.
func (c drainNodeCommand) Run(ctx context.Context) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	response, err := controls.DrainNode(ctx, &dillchutev1.DrainNodeRequest{Node: c.ID, Draining: !c.Undo})
	if err == nil && !response.Found {
		err = ErrFailed.New("unknown node %q", c.ID)
	}
	return err
}

type drainEngineCommand struct {
	connection
	ID   string `arg:"" help:"Name of the engine."`
	Undo bool   `help:"Take the mark back."`
}

// Run drains an engine.
func (c drainEngineCommand) Run(ctx context.Context) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	response, err := controls.DrainEngine(ctx, &dillchutev1.DrainEngineRequest{Engine: c.ID, Leaving: !c.Undo})
	if err == nil && !response.Found {
		err = ErrFailed.New("unknown engine %q", c.ID)
	}
	return err
}

type weightsCommand struct {
	Publish weightsPublishCommand `cmd:"" help:"Make a weight version the newest of its model."`
}

type weightsPublishCommand struct {
	connection
	Model   string `arg:"" help:"Name of the model."`
	Version uint64 `arg:"" help:"Version, above the newest."`
}

// Run publishes a weight version.
func (c weightsPublishCommand) Run(ctx context.Context, streams Streams) error {
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	response, err := controls.PublishWeights(ctx, &dillchutev1.PublishWeightsRequest{Model: c.Model, Version: c.Version})
	if err != nil {
		return err
	}
	if !response.Accepted {
		return ErrFailed.New("version %d of model %s is published already", response.NewestVersion, c.Model)
	}
	fmt.Fprintf(streams.Out, "version %d is the newest of model %s\n", response.NewestVersion, c.Model)
	return nil
}

type membersCommand struct {
	connection
	Action  string `arg:"" enum:"add,promote,remove,lead" help:"add (as a learner), promote, remove, or lead (hand leadership over)."`
	Replica string `arg:"" help:"Number of the replica."`
	Address string `help:"Address of the replica, to add it."`
}

// Run changes the group of control replicas.
func (c membersCommand) Run(ctx context.Context) error {
	actions := map[string]dillchutev1.MembershipAction{
		"add":     dillchutev1.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER,
		"promote": dillchutev1.MembershipAction_MEMBERSHIP_ACTION_PROMOTE,
		"remove":  dillchutev1.MembershipAction_MEMBERSHIP_ACTION_REMOVE,
		"lead":    dillchutev1.MembershipAction_MEMBERSHIP_ACTION_TRANSFER_LEADERSHIP,
	}
	controls, ctx, cancel := c.open(ctx)
	defer cancel()
	response, err := controls.ChangeMembership(ctx, &dillchutev1.ChangeMembershipRequest{
		Action: actions[c.Action], Replica: c.Replica, Address: c.Address,
	})
	if err == nil && !response.Accepted {
		err = ErrFailed.New("%s", response.Reason)
	}
	return err
}
