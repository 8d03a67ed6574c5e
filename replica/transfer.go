package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/protocol"
)

const (
	// snapshotPath is where a replica receives a snapshot: a length-prefixed message followed by the
	// snapshot's data.
	snapshotPath    = "/internal/snapshot"
	transferTimeout = 30 * time.Second
	// maxTransfers limits concurrent outgoing snapshots.
	maxTransfers      = 2
	lengthPrefixBytes = 4
	maxMessageBytes   = 1 << 20
)

// transfers sends snapshots from storage to other replicas. The core of a leader requests a transfer
// repeatedly until the receiver acknowledges the snapshot, so there is at most one transfer to each replica
// at a time, and at most maxTransfers in total.
type transfers struct {
	store  Store
	client *http.Client
	logger *zerolog.Logger

	mutex  sync.Mutex
	active map[string]bool
}

func newTransfers(store Store, client *http.Client, logger *zerolog.Logger) *transfers {
	return &transfers{store: store, client: client, logger: logger, active: map[string]bool{}}
}

// tryBegin reports whether a transfer to the address may start, and marks it as active.
func (t *transfers) tryBegin(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.active[address] || len(t.active) >= maxTransfers {
		return false
	}
	t.active[address] = true
	return true
}

func (t *transfers) end(address string) {
	t.mutex.Lock()
	delete(t.active, address)
	t.mutex.Unlock()
}

// send starts sending the message with the newest durable snapshot, which may be newer than the one in
// the message. A transfer that is not started is requested again by the core.
func (t *transfers) send(outgoing Outgoing) {
	if !t.tryBegin(outgoing.Address) {
		return
	}
	go func() {
		defer t.end(outgoing.Address)
		entry := event.SnapshotSent.On(t.logger).Str("to", outgoing.Address)
		index, err := t.transfer(outgoing)
		if err != nil {
			entry = event.SnapshotSendFailed.On(t.logger).Str("to", outgoing.Address).Err(err)
		}
		entry.Uint("index", index).Send()
	}()
}

func (t *transfers) transfer(outgoing Outgoing) (uint64, error) {
	snapshot, data, size, err := t.store.OpenSnapshot()
	if err != nil {
		return 0, err
	}
	defer data.Close()
	message := *outgoing.Message.Consensus
	message.Snapshot = &snapshot
	outgoing.Message.Consensus = &message
	header, err := cbor.Marshal(outgoing.Message)
	if err != nil {
		return snapshot.Index, err
	}
	header = append(binary.BigEndian.AppendUint32(nil, uint32(len(header))), header...)
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+outgoing.Address+snapshotPath,
		io.MultiReader(bytes.NewReader(header), data))
	if err != nil {
		return snapshot.Index, err
	}
	request.ContentLength = int64(len(header)) + size
	response, err := t.client.Do(request)
	if err != nil {
		return snapshot.Index, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return snapshot.Index, ErrUnavailable.New("%s responded with status %d", outgoing.Address, response.StatusCode)
	}
	return snapshot.Index, nil
}

// serveSnapshot receives a snapshot: it stores the data, then passes the message to the core.
func (r *Replica) serveSnapshot(response http.ResponseWriter, request *http.Request) {
	body := newTransferReader(response, request)
	message, size, err := readSnapshotMessage(body, request.ContentLength)
	if err != nil {
		r.logFailedTransfer(body, err)
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.store.ReceiveSnapshot(*message.Consensus.Snapshot, body, size); err != nil {
		r.logFailedTransfer(body, err)
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err := body.end(); err != nil {
		r.logFailedTransfer(body, err)
	}
	r.loop.Submit(func() { r.receiveSnapshot(message) })
}

func (r *Replica) logFailedTransfer(body *transferReader, err error) {
	event.SnapshotReceiveFailed.On(r.logger).Uint("bytes", uint64(body.received)).Err(err).Send()
}

// receiveSnapshot passes the message to the core, unless the core would install its snapshot and the store does
// not hold the data any more. The leader sends a snapshot until it is acknowledged.
func (r *Replica) receiveSnapshot(message protocol.Message) {
	index := message.Consensus.Snapshot.Index
	if index > r.core.Raft().Commit() && !r.store.HasReceived(index) {
		event.SnapshotNotHeld.On(r.logger).Uint("index", index).Send()
		return
	}
	r.core.Receive(message)
	r.mayHaveUnneededSnapshots = true
}

// discardUnneededSnapshots removes the received snapshots that are not newer than the state, and so will not be
// installed.
func (r *Replica) discardUnneededSnapshots() error {
	if !r.mayHaveUnneededSnapshots {
		return nil
	}
	r.mayHaveUnneededSnapshots = false
	return r.persistWithRetry(func() error { return r.store.DiscardReceived(r.core.Raft().Commit()) })
}

// readSnapshotMessage reads the message at the start of a transfer, and returns it and the size of the
// data that follows.
func readSnapshotMessage(body io.Reader, contentLength int64) (protocol.Message, int64, error) {
	var message protocol.Message
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(body, prefix[:]); err != nil {
		return message, 0, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	size := contentLength - lengthPrefixBytes - int64(length)
	if length > maxMessageBytes || size < 0 {
		return message, 0, ErrUnavailable.New("invalid message length %d", length)
	}
	encoded := make([]byte, length)
	if _, err := io.ReadFull(body, encoded); err != nil {
		return message, 0, err
	}
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return message, 0, err
	}
	if message.Consensus == nil || message.Consensus.Snapshot == nil {
		return message, 0, ErrUnavailable.New("the message holds no snapshot")
	}
	return message, size, nil
}
