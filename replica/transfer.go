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
	// snapshotPath is where a replica takes in a snapshot: a length-prefixed
	// message, and then the data that the snapshot in it lacks.
	snapshotPath    = "/internal/snapshot"
	transferTimeout = 30 * time.Second
	// maxTransfers bounds the snapshots that are sent at the same time.
	maxTransfers    = 2
	lengthBytes     = 4
	maxMessageBytes = 1 << 20
)

// transfers sends snapshots to other replicas straight from storage. A leader
// names a snapshot again and again until it is answered; of these only one is
// under way to each replica, and few at all, since each takes bandwidth.
type transfers struct {
	store  Store
	client *http.Client
	logger *zerolog.Logger

	mutex    sync.Mutex
	underWay map[string]bool
}

func newTransfers(store Store, client *http.Client, logger *zerolog.Logger) *transfers {
	return &transfers{store: store, client: client, logger: logger, underWay: map[string]bool{}}
}

// begin tells whether a transfer to the address may start now.
func (t *transfers) begin(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.underWay[address] || len(t.underWay) >= maxTransfers {
		return false
	}
	t.underWay[address] = true
	return true
}

func (t *transfers) end(address string) {
	t.mutex.Lock()
	delete(t.underWay, address)
	t.mutex.Unlock()
}

// send starts to send the message with the newest durable snapshot, which may be
// newer than the one named. What is not sent is asked for again.
func (t *transfers) send(outgoing Outgoing) {
	if !t.begin(outgoing.Address) {
		return
	}
	go func() {
		defer t.end(outgoing.Address)
		line := event.SnapshotSent.On(t.logger).Str("to", outgoing.Address)
		index, err := t.transfer(outgoing)
		if err != nil {
			line = event.SnapshotSendFailed.On(t.logger).Str("to", outgoing.Address).Err(err)
		}
		line.Uint("index", index).Send()
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
	head, err := cbor.Marshal(outgoing.Message)
	if err != nil {
		return snapshot.Index, err
	}
	head = append(binary.BigEndian.AppendUint32(nil, uint32(len(head))), head...)
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+outgoing.Address+snapshotPath,
		io.MultiReader(bytes.NewReader(head), data))
	if err != nil {
		return snapshot.Index, err
	}
	request.ContentLength = int64(len(head)) + size
	response, err := t.client.Do(request)
	if err != nil {
		return snapshot.Index, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return snapshot.Index, ErrUnavailable.New("%s answered %d", outgoing.Address, response.StatusCode)
	}
	return snapshot.Index, nil
}

// serveSnapshot takes in a snapshot: its data goes to storage, and then the
// message to the core.
func (r *Replica) serveSnapshot(response http.ResponseWriter, request *http.Request) {
	message, size, err := readSnapshotMessage(request)
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.store.ReceiveSnapshot(*message.Consensus.Snapshot, request.Body, size); err != nil {
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
		return
	}
	r.receive(message)
}

// readSnapshotMessage reads the message at the head of a transfer, and returns
// the size of the data that follows.
func readSnapshotMessage(request *http.Request) (protocol.Message, int64, error) {
	var message protocol.Message
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(request.Body, prefix[:]); err != nil {
		return message, 0, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	size := request.ContentLength - lengthBytes - int64(length)
	if length > maxMessageBytes || size < 0 {
		return message, 0, ErrUnavailable.New("a message of %d bytes", length)
	}
	head := make([]byte, length)
	if _, err := io.ReadFull(request.Body, head); err != nil {
		return message, 0, err
	}
	if err := cbor.Unmarshal(head, &message); err != nil {
		return message, 0, err
	}
	if message.Consensus == nil || message.Consensus.Snapshot == nil {
		return message, 0, ErrUnavailable.New("the message holds no snapshot")
	}
	return message, size, nil
}
