package replica

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/storage"
)

// receiveFromPeer handles messages from the transport. It drops those that carry a snapshot, which must
// come by a transfer together with the data.
func (r *Replica) receiveFromPeer(message protocol.Message) {
	if message.Consensus == nil || message.Consensus.Snapshot == nil {
		r.receive(message)
	}
}

func (r *Replica) receive(message protocol.Message) {
	r.loop.Submit(func() { r.core.Receive(message) })
}

// tick advances the core by all ticks that have passed since the last call, so that a leader that
// stalled loses its leadership before it acts again.
func (r *Replica) tick() {
	elapsed, suspended := r.pauseDetector.Check()
	missed := int(elapsed / TickInterval)
	for range min(max(missed, 1), 2*electionTicks) {
		r.core.Tick()
	}
	if elapsed > stallThreshold {
		event.ProcessStalled.On(r.logger).Int("ms", elapsed.Milliseconds()).Int("suspended_ms", suspended.Milliseconds()).Send()
	}
}

// flush persists, applies and sends the output of a batch of calls, with one sync for all entries of
// the batch.
func (r *Replica) flush() error {
	advanced := false
	for r.core.HasReady() {
		ready := r.core.Ready()
		if err := r.persistWithRetry(func() error { return r.store.Save(ready) }); err != nil {
			return err
		}
		if err := r.advance(ready); err != nil {
			event.ApplyFailed.On(r.logger).Err(err).Send()
			return err
		}
		advanced = advanced || len(ready.Committed) > 0 || ready.Snapshot != nil
		if job := r.core.TakeSnapshotJob(); job != nil {
			go r.writeSnapshot(job)
		}
	}
	if err := r.discardUnneededSnapshots(); err != nil {
		return err
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
		if replies, ok := r.pending[reply.ID]; ok {
			delete(r.pending, reply.ID)
			replies <- reply
		}
	}
	if advanced {
		r.notifyChanged()
	}
	return nil
}

// advance continues after the Ready has been persisted.
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

// writeSnapshot writes a snapshot concurrently with the loop.
func (r *Replica) writeSnapshot(job *SnapshotJob) {
	size := 0
	err := r.persistWithRetry(func() (err error) {
		size, err = r.store.WriteSnapshot(job.Snapshot, job.Write)
		return err
	})
	if err != nil {
		return
	}
	event.SnapshotSaved.On(r.logger).Uint("index", job.Snapshot.Index).Uint("bytes", uint64(size)).Send()
	r.loop.Submit(func() {
		if through := r.core.FinishSnapshot(job, size); through > 0 {
			r.persistWithRetry(func() error { return r.store.DropLog(through) })
		}
	})
}

// persistWithRetry repeats a write until it succeeds or the replica stops, so that a full or faulty disk
// does not end the process. Until then the replica sends no messages, so another one can become leader. A
// snapshot whose data is lost cannot be saved later: the replica must start again with what is on its disk.
func (r *Replica) persistWithRetry(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	if errorx.IsOfType(err, storage.ErrNotReceived) {
		event.StorageFailed.On(r.logger).Err(err).Send()
		return err
	}
	event.StorageUnavailable.On(r.logger).Err(err).Send()
	for err != nil {
		select {
		case <-r.context.Done():
			event.StorageFailed.On(r.logger).Err(err).Send()
			return err
		case <-time.After(storageRetryInterval):
		}
		err = write()
	}
	event.StorageRecovered.On(r.logger).Send()
	return nil
}

func (r *Replica) notifyChanged() {
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
