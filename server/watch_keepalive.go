package server

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
)

const (
	// watchMembersParameter is the digest of the members that the watcher knows. Only watchers that
	// accept keepalives set it.
	watchMembersParameter = "members"
	// watchScopeParameter and watchHeldParameter are the fields of directory.Watch.
	watchScopeParameter = "scope"
	watchHeldParameter  = "held"
	// watchKeepalive is sent while a watch is open. No answer begins with this byte.
	watchKeepalive byte = 0
	// keepaliveInterval is the time between two keepalives, and watchIdleTimeout how long a watcher waits
	// for the next one: two keepalives, and some slack for busy machines.
	keepaliveInterval = 300 * time.Millisecond
	watchIdleTimeout  = 700 * time.Millisecond
	// minFirstByteTimeout bounds the wait for the first keepalive, with a new connection. The timeout
	// doubles with each failed round of all replicas, up to maxFirstByteTimeout, so that slow replicas
	// are reached too.
	minFirstByteTimeout = 300 * time.Millisecond
	maxFirstByteTimeout = 2500 * time.Millisecond
	// keepaliveWatchTimeout limits the duration of a watch with keepalives. Long watches save traffic between
	// zones.
	keepaliveWatchTimeout = 10 * time.Second
)

// watchAnswer is the answer to a watch. Watchers that accept keepalives receive one at once and then
// periodically, so that they soon notice a failed replica.
type watchAnswer struct {
	response http.ResponseWriter
	// members is the digest of the members that the watcher knows, or "" if it accepts no keepalives.
	members string
	// started is set once a keepalive was sent, after which the status cannot change.
	started bool
	// isFresh reports whether the replica is known to hold everything acknowledged. If it is nil, the answer
	// is not marked as fresh.
	isFresh func() bool
}

// watchFreshHeader is a header or trailer in answers of a replica that was known to hold everything
// acknowledged a short time before.
const watchFreshHeader = "Directory-Proved"

// sendKeepalive sends a keepalive if the watcher accepts them. It returns false if that fails.
func (a *watchAnswer) sendKeepalive() bool {
	if a.members == "" {
		return true
	}
	a.started = true
	if _, err := a.response.Write([]byte{watchKeepalive}); err != nil {
		return false
	}
	return http.NewResponseController(a.response).Flush() == nil
}

// reject rejects the watch, so that the watcher asks another replica. After a keepalive, the empty answer
// means the same.
func (a *watchAnswer) reject(reason string) {
	if !a.started {
		http.Error(a.response, reason, http.StatusServiceUnavailable)
	}
}

// send answers with a delta.
func (a *watchAnswer) send(delta directory.Delta) { a.sendEncoded(encodeInternal(delta)) }

// sendEncoded answers with an encoded delta. If that fails, the watcher queries again.
func (a *watchAnswer) sendEncoded(body []byte) {
	if !a.started {
		a.response.Header().Set("Content-Type", "application/cbor")
		a.response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.markFresh()
	_, _ = a.response.Write(body)
}

// markFresh sets watchFreshHeader if the replica is known to hold everything acknowledged.
func (a *watchAnswer) markFresh() {
	if a.isFresh == nil || !a.isFresh() {
		return
	}
	header := watchFreshHeader
	if a.started {
		header = http.TrailerPrefix + header
	}
	a.response.Header().Set(header, "1")
}

// isMarkedFresh reports whether an answer that was read to its end has watchFreshHeader.
func isMarkedFresh(answer *http.Response) bool {
	return answer.Header.Get(watchFreshHeader) != "" || answer.Trailer.Get(watchFreshHeader) != ""
}

// readWatch returns the content of an answer to a watch, without keepalives. It calls onData whenever
// data arrives, and onKeepalive for each keepalive.
func readWatch(answer io.Reader, onData, onKeepalive func()) ([]byte, error) {
	buffered := bufio.NewReader(notifyingReader{reader: io.LimitReader(answer, maxInternalBytes), onData: onData})
	for {
		first, err := buffered.ReadByte()
		if err != nil {
			return nil, err
		}
		if first == watchKeepalive {
			onKeepalive()
			continue
		}
		if err := buffered.UnreadByte(); err != nil {
			return nil, err
		}
		return io.ReadAll(buffered)
	}
}

// notifyingReader calls onData whenever data was read.
type notifyingReader struct {
	reader io.Reader
	onData func()
}

func (r notifyingReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	if count > 0 {
		r.onData()
	}
	return count, err
}

// membersDigest returns a digest of members, by which a replica checks whether a watcher knows the
// current ones.
func membersDigest(members []consensus.Member) string {
	hash := fnv.New64a()
	for _, member := range members {
		// Writes to a hash do not fail.
		fmt.Fprintf(hash, "%d %s %t\n", member.ID, member.Address, member.Voter)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}
