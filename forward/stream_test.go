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
	_ "github.com/dillchute/dillchute/internal/fixedseed"
	"github.com/dillchute/dillchute/routing"
)

// streamer opens streams as a test wants.
type streamer struct {
	scripted
	open   func(backend, after string) Opened
	opened []string
}

func (s *streamer) Open(_ context.Context, backend directory.Backend, _ *Request, after string) Opened {
	s.opened = append(s.opened, backend.ID+"@"+after)
	return s.open(backend.ID, after)
}

func events(from, to int) string {
	text := ""
	for number := from; number <= to; number++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
	}
	return text
}

func body(text string) Opened {
	return Opened{Outcome: Answered, Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

// recorder is a sink that keeps what it gets.
type recorder struct {
	begun int
	bytes.Buffer
}

func (r *recorder) Begin(int, http.Header) { r.begun++ }

func doStream(client *streamer, resumable bool, backends ...directory.Backend) (Result, *recorder) {
	through := route(routing.Streaming, 3)
	through.Resumable = resumable
	sink := &recorder{}
	result := New(client, "z", noSuspects()).Stream(context.Background(), catalogOf(backends...), through, &Request{Deadline: time.Now().Add(time.Minute)}, sink)
	return result, sink
}

// TestStreamGoesOnElsewhere: after a cut in the middle of an event the stream
// goes on at another backend after its last whole event, under one head.
func TestStreamGoesOnElsewhere(t *testing.T) {
	client := &streamer{}
	client.open = func(_, after string) Opened {
		if after == "" {
			return body(events(1, 2) + "id: 3\ndata: ha")
		}
		return body(events(3, 4))
	}
	result, sink := doStream(client, true, backend("a"), backend("b"))
	require.NotNil(t, result.Response)
	require.Equal(t, events(1, 4), sink.String())
	require.Equal(t, 1, sink.begun)
	require.Len(t, client.opened, 2)
	require.True(t, strings.HasSuffix(client.opened[1], "@2"))
}

// TestCutStreamDoesNotLookComplete: a stream that must not be resumed ends as
// not whole, and no other backend is asked.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	client := &streamer{open: func(string, string) Opened { return body(events(1, 2) + "id: 3") }}
	result, sink := doStream(client, false, backend("a"), backend("b"))
	require.Nil(t, result.Response)
	require.True(t, result.MayHaveRun)
	require.Equal(t, events(1, 2), sink.String())
	require.Len(t, client.opened, 1)
}

// TestRefusedStreamGoesElsewhere: nothing has run, whatever the route allows.
func TestRefusedStreamGoesElsewhere(t *testing.T) {
	client := &streamer{open: func(string, string) Opened { return Opened{Outcome: Refused} }}
	result, sink := doStream(client, false, backend("a"), backend("b"))
	require.Nil(t, result.Response)
	require.False(t, result.MayHaveRun)
	require.Zero(t, sink.begun)
	require.Len(t, client.opened, 2)
}

// TestEventReader: whatever a stream is cut into, its whole events come out as
// they went in, and only a stream that ends between events counts as ended.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		count := rapid.IntRange(0, 5).Draw(t, "events")
		var raws []string
		for range count {
			raw := ""
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				raw += rapid.StringMatching(`[a-z]{1,4}:? ?[a-z:]{0,5}`).Draw(t, "line") + rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			}
			raw += "\n"
			raws = append(raws, raw)
			text += raw
		}
		length := rapid.IntRange(0, len(text)).Draw(t, "length")
		reader := NewEventReader(strings.NewReader(text[:length]))
		whole := 0
		for {
			event, err := reader.Next()
			if err != nil {
				boundary := len(strings.Join(raws[:whole], ""))
				require.Equal(t, length == boundary, err == io.EOF)
				break
			}
			require.Equal(t, raws[whole], string(event.Raw))
			whole++
		}
	})
}
