package replica

import (
	"time"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/protocol"
)

// receivePeer takes in what comes by the transport. A snapshot comes by a
// transfer, which brings its data.
func (r *Replica) receivePeer(message protocol.Message) {
	if message.Consensus == nil || message.Consensus.Snapshot == nil {
		r.receive(message)
	}
}

func (r *Replica) receive(message protocol.Message) {
	r.loop.Submit(func() { r.core.Receive(message) })
}

// tick makes up for ticks that were missed: a leader that stood still must
// notice that its time has passed before it acts again.
func (r *Replica) tick() {
	elapsed, suspended := r.pulse.Check()
	missed := int(elapsed / TickInterval)
	for range min(max(missed, 1), 2*electionTicks) {
		r.core.Tick()
	}
	if elapsed > standstill {
		event.ProcessStalled.On(r.logger).Int("ms", elapsed.Milliseconds()).Int("suspended_ms", suspended.Milliseconds()).Send()
	}
}

// flush persists, applies and sends what the calls of a batch have produced.
// One sync serves all entries of the batch.
func (r *Replica) flush() error {
	advanced := false
	for r.core.HasReady() {
		ready := r.core.Ready()
		if err := r.persist(func() error { return r.store.Save(ready) }); err != nil {
			return err
		}
		if err := r.advance(ready); err != nil {
			event.ApplyFailed.On(r.logger).Err(err).Send()
			return err
		}
		advanced = advanced || len(ready.Committed) > 0 || ready.Snapshot != nil
		if job := r.core.TakeSnapshotJob(); job != nil {
			go r.makeSnapshot(job)
		}
	}
	r.updateStatus()
	for _, outgoing := range r.core.TakeMessages() {
		if outgoing.Message.Consensus != nil && outgoing.Message.Consensus.Snapshot != nil {
			r.transfers.send(outgoing)
			continue
		}
		r.transport.Send(outgoing.Address, outgoing.Message)
	}
	for _, reply := range r.core.TakeReplies() {
		if waiting, ok := r.waiting[reply.ID]; ok {
			delete(r.waiting, reply.ID)
			waiting <- reply
		}
	}
	if advanced {
		r.signal()
	}
	return nil
}

// advance carries on after the Ready has been persisted.
func (r *Replica) advance(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return r.core.Advance(ready, nil)
	}
	_, state, _, err := r.store.OpenSnapshot()
	if err != nil {
		return err
	}
	defer state.Close()
	return r.core.Advance(ready, state)
}

// makeSnapshot writes a snapshot beside the loop.
func (r *Replica) makeSnapshot(job *SnapshotJob) {
	size := 0
	err := r.persist(func() (err error) {
		size, err = r.store.WriteSnapshot(job.Snapshot, job.Write)
		return err
	})
	if err != nil {
		return
	}
	event.SnapshotSaved.On(r.logger).Uint("index", job.Snapshot.Index).Uint("bytes", uint64(size)).Send()
	r.loop.Submit(func() {
		if through := r.core.FinishSnapshot(job, size); through > 0 {
			r.persist(func() error { return r.store.DropLog(through) })
		}
	})
}

// persist repeats the call while storage refuses it: a disk that is full or
// faulty for a while is no reason to stop, and until it takes writes again this
// replica says nothing, so that another one leads.
func (r *Replica) persist(call func() error) error {
	err := call()
	if err == nil {
		return nil
	}
	event.StorageUnavailable.On(r.logger).Err(err).Send()
	for err != nil {
		select {
		case <-r.context.Done():
			event.StorageFailed.On(r.logger).Err(err).Send()
			return err
		case <-time.After(storageRetry):
		}
		err = call()
	}
	event.StorageRecovered.On(r.logger).Send()
	return nil
}

func (r *Replica) signal() {
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
