package replica

import (
	"context"
	"io"
	"net/http"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/eventloop"
)

// Do runs the function in the replica's loop, where the machine may be read.
// It returns false if the replica has stopped.
func (r *Replica) Do(function func()) bool {
	_, ok := eventloop.Call(r.loop, func() struct{} {
		function()
		return struct{}{}
	})
	return ok
}

// SetRetiring names the replicas that are to leave the group.
func (r *Replica) SetRetiring(retiring map[consensus.ReplicaID]bool) {
	r.loop.Submit(func() { r.core.SetRetiring(retiring) })
}

// ask starts a request under an ID in the loop and waits for its reply. Nothing is
// started for a context that has ended: its owner may have lost the leadership that
// it acts under, while this replica leads again.
func (r *Replica) ask(ctx context.Context, start func(id uint64)) Reply {
	if ctx.Err() != nil {
		return Reply{Outcome: NotLeader}
	}
	answered := make(chan Reply, 1)
	var id uint64
	queued := r.loop.Submit(func() {
		r.nextID++
		id = r.nextID
		r.waiting[id] = answered
		start(id)
	})
	if !queued {
		return Reply{Outcome: NotLeader}
	}
	select {
	case reply := <-answered:
		return reply
	case <-r.loop.Done():
	case <-ctx.Done():
		r.loop.Submit(func() { delete(r.waiting, id) })
	}
	return Reply{Outcome: Unknown}
}

// Confirm waits until the machine reflects every command that was acknowledged
// before the call. It fails on a replica that does not lead.
func (r *Replica) Confirm(ctx context.Context) error {
	switch r.ask(ctx, func(id uint64) { r.core.Read(id) }).Outcome {
	case Done:
		return nil
	default:
		return ErrUnavailable.New("this replica cannot confirm a read")
	}
}

// Execute has the command carried out, by the leader wherever that is, and
// returns its encoded result.
func (r *Replica) Execute(ctx context.Context, command []byte) ([]byte, error) {
	reply := r.ask(ctx, func(id uint64) { r.core.Propose(id, command) })
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
	return r.executeAt(ctx, leader, command)
}

// ExecuteFor carries out a command of the version, on the leader alone and if the members know it,
// which the function tells with the command: whoever is let in later must know it, too. Nobody joins
// between the question and the command.
func (r *Replica) ExecuteFor(ctx context.Context, version uint64, command func(members []consensus.Member) ([]byte, bool)) ([]byte, error) {
	reply := r.ask(ctx, func(id uint64) {
		encoded, known := command(r.core.Raft().Membership().Members)
		if !known {
			r.core.answer(id, NotLeader, nil)
			return
		}
		r.core.Require(version)
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

// Require has only replicas let in that know the version of the machine's commands.
func (r *Replica) Require(version uint64) { r.loop.Submit(func() { r.core.Require(version) }) }

func (r *Replica) executeAt(ctx context.Context, leader string, command []byte) ([]byte, error) {
	response, err := PostInternal(ctx, r.client, "http://"+leader+ExecutePath, command)
	if err != nil {
		return nil, ErrUnknown.Wrap(err, "forward a command to %s", leader)
	}
	return response, nil
}

func (r *Replica) serveExecute(response http.ResponseWriter, request *http.Request) {
	command, err := io.ReadAll(io.LimitReader(request.Body, maxCommandBytes))
	if err != nil {
		return
	}
	reply := r.ask(request.Context(), func(id uint64) { r.core.Propose(id, command) })
	if reply.Outcome != Done {
		http.Error(response, "not the leader", http.StatusServiceUnavailable)
		return
	}
	response.Header().Set("Content-Type", "application/cbor")
	response.Write(reply.Result)
}
