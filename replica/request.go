package replica

import (
	"context"
	"net/http"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/intake"
)

// Do runs the function in the replica's loop, where it may read the machine. It returns false if the
// replica has stopped.
func (r *Replica) Do(function func()) bool {
	_, ok := eventloop.Call(r.loop, func() struct{} {
		function()
		return struct{}{}
	})
	return ok
}

// SetRetiring sets the replicas to be removed from the group.
func (r *Replica) SetRetiring(retiring map[consensus.ReplicaID]bool) {
	r.loop.Submit(func() { r.core.SetRetiring(retiring) })
}

// submitRequest starts a request in the loop and waits for its reply. It starts nothing if the context has
// ended: its owner may have lost the leadership in which it decided to act, even if this replica leads again.
func (r *Replica) submitRequest(ctx context.Context, start func(id uint64)) Reply {
	if ctx.Err() != nil {
		return Reply{Outcome: NotLeader}
	}
	replies := make(chan Reply, 1)
	var id uint64
	queued := r.loop.Submit(func() {
		r.nextID++
		id = r.nextID
		r.pending[id] = replies
		start(id)
	})
	if !queued {
		return Reply{Outcome: NotLeader}
	}
	select {
	case reply := <-replies:
		return reply
	case <-r.loop.Done():
	case <-ctx.Done():
		r.loop.Submit(func() { delete(r.pending, id) })
	}
	return Reply{Outcome: Unknown}
}

// Confirm waits until the machine reflects every command acknowledged before the call. It fails on a
// replica that is not the leader.
func (r *Replica) Confirm(ctx context.Context) error {
	switch r.submitRequest(ctx, func(id uint64) { r.core.Read(id) }).Outcome {
	case Done:
		return nil
	default:
		return ErrUnavailable.New("this replica did not confirm the read; it may not be the leader")
	}
}

// Execute executes the command on the leader, forwarding it if necessary, and returns its encoded result.
func (r *Replica) Execute(ctx context.Context, command []byte) ([]byte, error) {
	reply := r.submitRequest(ctx, func(id uint64) { r.core.Propose(id, command) })
	switch reply.Outcome {
	case Done:
		return reply.Result, nil
	case Unknown:
		return nil, ErrUnknown.New("leadership was lost before the command was committed")
	}
	leader := r.Status().Leader
	if leader == "" || leader == r.settings.Address {
		return nil, ErrUnavailable.New("no leader is known")
	}
	return r.forwardCommand(ctx, leader, command)
}

// ExecuteVersioned executes a command of the version if this replica is the leader. The function encodes
// the command and reports whether all members support the version. Replicas admitted later must support
// it, too; none is admitted between the call of the function and the proposal.
func (r *Replica) ExecuteVersioned(ctx context.Context, version uint64, encode func(members []consensus.Member) ([]byte, bool)) ([]byte, error) {
	reply := r.submitRequest(ctx, func(id uint64) {
		encoded, supported := encode(r.core.Raft().Membership().Members)
		if !supported {
			r.core.addReply(id, NotLeader, nil)
			return
		}
		r.core.RequireVersion(version)
		r.core.Propose(id, encoded)
	})
	switch reply.Outcome {
	case Done:
		return reply.Result, nil
	case Unknown:
		return nil, ErrUnknown.New("leadership was lost before the command was committed")
	}
	return nil, ErrUnavailable.New("this replica does not lead, or a member does not know version %d", version)
}

// RequireVersion admits only replicas that support the version of the machine's commands.
func (r *Replica) RequireVersion(version uint64) {
	r.loop.Submit(func() { r.core.RequireVersion(version) })
}

func (r *Replica) forwardCommand(ctx context.Context, leader string, command []byte) ([]byte, error) {
	response, err := PostInternal(ctx, r.client, "http://"+leader+ExecutePath, command)
	if err != nil {
		return nil, ErrUnknown.Wrap(err, "forward a command to %s", leader)
	}
	return response, nil
}

const (
	// freeCommandBytes of each forwarded command need no reservation.
	freeCommandBytes = 16 << 10
	// commandCopies is how often a command is held until it is committed: as received, in the log, and in messages to
	// other replicas.
	commandCopies = 3
	// logDivisor sets the part of the budget for commands, 1/logDivisor, that the log may take before large commands are
	// refused until a snapshot covers it.
	logDivisor = 4
)

// checkCommand checks a forwarded command, and reserves what it decodes to.
func (r *Replica) checkCommand(command []byte) (*intake.Reservation, error) {
	if r.settings.CheckCommand == nil {
		return nil, nil
	}
	return r.settings.CheckCommand(r.settings.Commands, command)
}

// readCommand reads a forwarded command, and reserves what it takes until it is committed. It fails with an intake.ErrBusy
// or intake.ErrTooLarge error if there is no room for it, or if the log has grown and no snapshot covers it yet.
func (r *Replica) readCommand(request *http.Request) (intake.Body, error) {
	budget := r.settings.Commands
	command, err := budget.Read(request.Body, request.ContentLength, maxCommandBytes, freeCommandBytes)
	if err != nil {
		return command, err
	}
	size := int64(cap(command.Bytes))
	if logBytes := r.logBytes.Load(); size > freeCommandBytes && logBytes > budget.Limit()/logDivisor {
		command.Release()
		return intake.Body{}, intake.ErrBusy.New("the log has %d bytes that no snapshot covers", logBytes)
	}
	if err := command.Memory.Resize(commandCopies * size); err != nil {
		command.Release()
		return intake.Body{}, err
	}
	return command, nil
}

func (r *Replica) serveExecute(response http.ResponseWriter, request *http.Request) {
	if !r.Status().Leading {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	command, err := r.readCommand(request)
	if err != nil {
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer command.Release()
	decoded, err := r.checkCommand(command.Bytes)
	if err != nil {
		status := http.StatusBadRequest
		if intake.IsRefusal(err) {
			status = http.StatusServiceUnavailable
		}
		http.Error(response, err.Error(), status)
		return
	}
	defer decoded.Release()
	reply := r.submitRequest(request.Context(), func(id uint64) { r.core.Propose(id, command.Bytes) })
	if reply.Outcome != Done {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	response.Header().Set("Content-Type", "application/cbor")
	response.Write(reply.Result)
}
