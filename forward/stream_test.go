package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	_ "github.com/dillchute/dillchute/internal/fixedseed"
	"github.com/dillchute/dillchute/routing"
)

// fakeStreamClient opens streams with the configured function.
type fakeStreamClient struct {
	fakeClient
	open   func(backend, after string) OpenedStream
	opened []string
}

func (c *fakeStreamClient) Open(_ context.Context, backend directory.Backend, _ *Request, lastEventID string) OpenedStream {
	c.opened = append(c.opened, backend.ID+"@"+lastEventID)
	return c.open(backend.ID, lastEventID)
}

func eventText(from, to int) string {
	text := ""
	for number := from; number <= to; number++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
	}
	return text
}

func openedWith(text string) OpenedStream {
	return OpenedStream{Outcome: Answered, Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

// recordingSink records what is written to it.
type recordingSink struct {
	headers int
	bytes.Buffer
}

func (s *recordingSink) Begin(int, http.Header) { s.headers++ }

func doStreamRequest(client *fakeStreamClient, resumable bool, backends ...directory.Backend) (Result, *recordingSink) {
	route := newRoute(routing.Streaming, 3)
	route.Resumable = resumable
	sink := &recordingSink{}
	result := New(client, "z", newGuard()).Stream(context.Background(), newCatalog(backends...), route, &Request{Deadline: time.Now().Add(time.Minute)}, sink)
	return result, sink
}

// A stream that breaks within an event must be resumed at another backend after its last complete
// event, with one header.
func TestStreamResumesAtAnotherBackend(t *testing.T) {
	client := &fakeStreamClient{}
	client.open = func(_, after string) OpenedStream {
		if after == "" {
			return openedWith(eventText(1, 2) + "id: 3\ndata: ha")
		}
		return openedWith(eventText(3, 4))
	}
	result, sink := doStreamRequest(client, true, newBackend("a"), newBackend("b"))
	require.NotNil(t, result.Response)
	require.Equal(t, eventText(1, 4), sink.String())
	require.Equal(t, 1, sink.headers)
	require.Len(t, client.opened, 2)
	require.True(t, strings.HasSuffix(client.opened[1], "@2"))
}

// A truncated stream that is not resumable must not be reported as complete nor sent again.
func TestTruncatedStreamIsNotReportedComplete(t *testing.T) {
	client := &fakeStreamClient{open: func(string, string) OpenedStream { return openedWith(eventText(1, 2) + "id: 3") }}
	result, sink := doStreamRequest(client, false, newBackend("a"), newBackend("b"))
	require.Nil(t, result.Response)
	require.True(t, result.MayHaveRun)
	require.Equal(t, eventText(1, 2), sink.String())
	require.Len(t, client.opened, 1)
}

// A refused stream must be sent to another backend, resumable or not.
func TestRefusedStreamIsSentToAnotherBackend(t *testing.T) {
	client := &fakeStreamClient{open: func(string, string) OpenedStream { return OpenedStream{Outcome: Refused} }}
	result, sink := doStreamRequest(client, false, newBackend("a"), newBackend("b"))
	require.Nil(t, result.Response)
	require.False(t, result.MayHaveRun)
	require.Zero(t, sink.headers)
	require.Len(t, client.opened, 2)
}

// Wherever a stream is truncated, its complete events must be returned unchanged, and io.EOF only
// between events.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		count := rapid.IntRange(0, 5).Draw(t, "events")
		var rawEvents []string
		for range count {
			raw := ""
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				raw += rapid.StringMatching(`[a-z]{1,4}:? ?[a-z:]{0,5}`).Draw(t, "line") + rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			}
			raw += "\n"
			rawEvents = append(rawEvents, raw)
			text += raw
		}
		length := rapid.IntRange(0, len(text)).Draw(t, "length")
		reader := NewEventReader(strings.NewReader(text[:length]), intake.Unlimited())
		complete := 0
		for {
			event, err := reader.Next()
			if err != nil {
				boundary := len(strings.Join(rawEvents[:complete], ""))
				require.Equal(t, length == boundary, err == io.EOF)
				break
			}
			require.Equal(t, rawEvents[complete], string(event.Raw))
			complete++
		}
	})
}

// TestStreamContinuesBeforeADamagedID guards against a stream that is continued at the wrong event: its caller got an event
// whose ID can't be read or doesn't rise, and the next backend was asked to continue after it.
func TestStreamContinuesBeforeADamagedID(t *testing.T) {
	for _, damaged := range []string{"id: x\ndata: 3\n\n", "id: 0\ndata: 3\n\n", "id: 1\ndata: 3\n\n", "ie: 3\ndata: 3\n\n", "id: 3\x01\ndata: 3\n\n"} {
		client := &fakeStreamClient{}
		client.open = func(_, after string) OpenedStream {
			if after == "" {
				return openedWith(eventText(1, 2) + damaged + "id: 4\ndata: 4\n\n")
			}
			return openedWith(eventText(3, 4))
		}
		result, sink := doStreamRequest(client, true, newBackend("a"), newBackend("b"))
		require.NotNil(t, result.Response, damaged)
		require.Equal(t, eventText(1, 4), sink.String(), damaged)
		require.True(t, strings.HasSuffix(client.opened[1], "@2"), damaged)
	}
}
