package replica

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// transferBody returns the body of a transfer of the snapshot at the index.
func (f *follower) transferBody(t *testing.T, index, number uint64) []byte {
	message, data := f.snapshotOf(index, number)
	encoded, err := cbor.Marshal(message)
	require.NoError(t, err)
	body := binary.BigEndian.AppendUint32(nil, uint32(len(encoded)))
	return append(append(body, encoded...), data...)
}

// TestSilentTransferDoesNotBlockTheNext guards against a replica that receives no snapshot any more: a sender opened
// a transfer and then said nothing more, or a byte at a time, without closing the connection.
func TestSilentTransferDoesNotBlockTheNext(t *testing.T) {
	for name, sent := range map[string]int{"within the length": 2, "within the message": 20, "within the data": -3} {
		for _, trickles := range []bool{false, true} {
			f := newFollower(t, t.TempDir())
			server := httptest.NewServer(http.HandlerFunc(f.serveSnapshot))
			body := f.transferBody(t, 20, 7)
			beginning := body[:(sent+len(body))%len(body)]
			silent, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(silent, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"+string(beginning))
			require.NoError(t, err)
			if trickles {
				go func() {
					for err := error(nil); err == nil; time.Sleep(transferStallTimeout / 10) {
						_, err = silent.Write([]byte{0})
					}
				}()
			}
			require.NoError(t, silent.SetReadDeadline(time.Now().Add(waitTimeout)))
			response := make([]byte, 100)
			_, err = silent.Read(response)
			require.NoError(t, err, "%s: the transfer is not ended", name)
			sound, err := http.Post(server.URL, "", bytes.NewReader(f.transferBody(t, 30, 8)))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, sound.StatusCode, name)
			require.NoError(t, sound.Body.Close())
			require.True(t, f.store.HasReceived(30))
			require.Len(t, f.receivedFiles(t), 1, "%s: files of the ended transfer are left", name)
			require.NoError(t, silent.Close())
			server.Close()
		}
	}
}

// TestTransferDeadline checks that a transfer may not stall, and may not be slow for long.
func TestTransferDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &transferReader{began: start}
	require.Equal(t, start.Add(transferStallTimeout), r.nextDeadline(start))
	r.received = 100 * minTransferRate
	require.Equal(t, start.Add(time.Second+transferStallTimeout), r.nextDeadline(start.Add(time.Second)), "fast, but stalling")
	r.received = minTransferRate
	require.Equal(t, start.Add(time.Second+transferStallTimeout), r.nextDeadline(start.Add(time.Minute)), "too slow")
}
