package responsecheck

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/intake"
)

const testHeadBytes = 4 << 10

// scriptedConn is a connection that receives the pieces, one with each read, and then the error readEnd. Its writes fail with
// writeError.
type scriptedConn struct {
	net.Conn
	pieces     [][]byte
	readEnd    error
	writeError error
	// onWrite, if set, is called by each write before it returns.
	onWrite func()
}

func (c *scriptedConn) Read(data []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, c.readEnd
	}
	count := copy(data, c.pieces[0])
	c.pieces[0] = c.pieces[0][count:]
	if len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return count, nil
}

func (c *scriptedConn) Write(data []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite()
	}
	return len(data), c.writeError
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) Close() error                     { return nil }

// limits returns those of the tests, with a budget of the size.
func limits(memory int64) Limits {
	return Limits{HeadBytes: testHeadBytes, Memory: intake.NewBudget(memory)}
}

// receive returns what a client reads that sends a request with the method and without a body, and receives the pieces.
func receive(t require.TestingT, method string, pieces ...[]byte) (string, error) {
	connection := NewConn(&scriptedConn{pieces: pieces, readEnd: io.EOF}, limits(1<<20))
	require.NotNil(t, connection.Begin(method, 0))
	_, err := io.WriteString(connection, method+" / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	read, err := io.ReadAll(connection)
	return string(read), err
}

// TestInvalidResponses checks the reason for which bytes are no valid response.
func TestInvalidResponses(t *testing.T) {
	start := "HTTP/1.1 200 OK\r\n"
	for text, reason := range map[string]Reason{
		"\r\n":                             ReasonStatusLine,
		"HTTP/1.1 200\r\n":                 ReasonStatusLine,
		"HTTP/1.1 000 \r\n":                ReasonStatusLine,
		"HTTP/1.1 099 \r\n":                ReasonStatusLine,
		"HTTP/1.1 101 \r\n":                ReasonStatusLine,
		"HTTP/1.1 600 \r\n":                ReasonStatusLine,
		"HTTP/1.2 200 \r\n":                ReasonStatusLine,
		"HTTP/1.1 200 OK\n":                ReasonLineBreak,
		start + "a: \rb\r\n":               ReasonLineBreak,
		start + "a b: c\r\n":               ReasonField,
		start + "a : c\r\n":                ReasonField,
		start + ": c\r\n":                  ReasonField,
		start + "a\r\n":                    ReasonField,
		start + "a: \x00\r\n":              ReasonField,
		start + "a: b\r\n c\r\n":           ReasonField,
		start + "Content-Length: -1\r\n":   ReasonFraming,
		start + "Content-Length: \r\n":     ReasonFraming,
		start + "Transfer-Encoding: x\r\n": ReasonFraming,
		"HTTP/1.0 200 \r\nTransfer-Encoding: chunked\r\n":                                            ReasonFraming,
		start + "Content-Length: 1\r\ncontent-length: 1\r\n":                                         ReasonFraming,
		start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                            ReasonFraming,
		"HTTP/1.1 204 \r\nContent-Length: 1\r\n\r\n":                                                 ReasonFraming,
		"HTTP/1.1 103 \r\nContent-Length: 0\r\n\r\n":                                                 ReasonFraming,
		start + "Transfer-Encoding: chunked\r\n\r\n \r\n":                                            ReasonChunk,
		start + "Transfer-Encoding: chunked\r\n\r\n1 \r\n":                                           ReasonChunk,
		start + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                                      ReasonChunk,
		start + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("a", 2000):                   ReasonTooLarge,
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\na b: c\r\n":                                  ReasonField,
		start + "Content-Length: 0\r\n\r\nx":                                                         ReasonSurplus,
		start + "a: " + strings.Repeat("x", testHeadBytes):                                           ReasonTooLarge,
		strings.Repeat("HTTP/1.1 103 \r\n\r\n", testHeadBytes):                                       ReasonTooLarge,
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: \r\n", testHeadBytes): ReasonTooLarge,
	} {
		_, err := receive(t, http.MethodGet, []byte(text))
		found, ok := ReasonOf(err)
		require.True(t, ok, "%q: %v", text, err)
		require.Equal(t, reason, found, text)
		found, ok = ReasonOf(fmt.Errorf("wrapped: %w", err))
		require.True(t, ok)
		require.Equal(t, reason, found)
	}
	_, ok := ReasonOf(io.EOF)
	require.False(t, ok)
	_, ok = ReasonOf(nil)
	require.False(t, ok)
}

// TestResponseThatEndsEarly checks that a response that lacks its end is cut, wherever that is.
func TestResponseThatEndsEarly(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 103 \r\n\r\nHTTP/1.1 204 \r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\na: b\r\n\r\n",
	} {
		for length := 1; length < len(text); length++ {
			_, err := receive(t, http.MethodGet, []byte(text[:length]))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, text[:length])
		}
		read, err := receive(t, http.MethodGet, []byte(text))
		require.NoError(t, err)
		require.Equal(t, text, read)
	}
	_, err := receive(t, http.MethodGet)
	require.NoError(t, err, "a connection that ends before a response has begun is closed in order")
}

// TestResponsesWithoutBody checks that nothing follows the head where the method or the status allows no body.
func TestResponsesWithoutBody(t *testing.T) {
	for head, method := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n":           http.MethodHead,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":  http.MethodHead,
		"HTTP/1.1 200 OK\r\n\r\n":                                http.MethodHead,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n": http.MethodGet,
		"HTTP/1.1 204 No Content\r\n\r\n":                        http.MethodGet,
	} {
		read, err := receive(t, method, []byte(head+"abc"))
		require.Equal(t, head, read)
		reason, _ := ReasonOf(err)
		require.Equal(t, ReasonSurplus, reason)
	}
}

// TestEndOfConnectionIsNoEnd checks that a response that ends with its connection is whole only if the whole request was
// written without an error. A write that takes the report of a reset leaves the read with a connection that was closed in
// order.
func TestEndOfConnectionIsNoEnd(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n\r\npart"
	for name, test := range map[string]struct {
		written    string
		writeError error
		end        error
	}{
		"whole request":        {written: "POST / HTTP/1.1\r\n\r\n12345", end: io.EOF},
		"part of the body":     {written: "POST / HTTP/1.1\r\n\r\n1234", end: io.ErrUnexpectedEOF},
		"part of the head":     {written: "POST / HTTP/1.1\r\n12345", end: io.ErrUnexpectedEOF},
		"nothing":              {end: io.ErrUnexpectedEOF},
		"write that was reset": {written: "POST / HTTP/1.1\r\n\r\n12345", writeError: syscall.ECONNRESET, end: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			connection := NewConn(&scriptedConn{pieces: [][]byte{[]byte(text)}, readEnd: io.EOF, writeError: test.writeError}, limits(1<<20))
			require.NotNil(t, connection.Begin(http.MethodPost, 5))
			for _, part := range test.written {
				_, err := connection.Write([]byte(string(part)))
				require.ErrorIs(t, err, test.writeError)
			}
			buffer := make([]byte, 100)
			count, err := connection.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, text, string(buffer[:count]))
			_, err = connection.Read(buffer)
			require.Equal(t, test.end, err)
			require.Nil(t, connection.Begin(http.MethodGet, 0))
		})
	}
}

// TestEndOfConnectionAwaitsTheWrite checks that a response that ends with its connection waits for the result of the last
// write, whose error arrives after the end of the connection.
func TestEndOfConnectionAwaitsTheWrite(t *testing.T) {
	for _, writeError := range []error{nil, syscall.ECONNRESET} {
		writing, proceed := make(chan struct{}), make(chan struct{})
		scripted := &scriptedConn{pieces: [][]byte{[]byte("HTTP/1.1 200 OK\r\n\r\npart")}, readEnd: io.EOF, writeError: writeError}
		scripted.onWrite = func() {
			close(writing)
			<-proceed
		}
		connection := NewConn(scripted, limits(1<<20))
		require.NotNil(t, connection.Begin(http.MethodGet, 0))
		written, read := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\n\r\n")
			written <- err
		}()
		<-writing
		go func() {
			_, err := io.ReadAll(connection)
			read <- err
		}()
		close(proceed)
		require.ErrorIs(t, <-written, writeError)
		if writeError == nil {
			require.NoError(t, <-read)
		} else {
			require.ErrorIs(t, <-read, io.ErrUnexpectedEOF)
		}
	}
}

// TestConnectionCarriesOneRequest checks that a connection carries its next request only once the response is whole, and
// none after bytes that belong to no response.
func TestConnectionCarriesOneRequest(t *testing.T) {
	whole := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	connection := NewConn(&scriptedConn{pieces: [][]byte{whole, append(bytes.Clone(whole), 'x')}, readEnd: io.EOF}, limits(1<<20))
	require.NotNil(t, connection.Begin(http.MethodGet, 0))
	require.Nil(t, connection.Begin(http.MethodGet, 0), "the response is due")
	buffer := make([]byte, 100)
	count, err := connection.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, whole, buffer[:count])
	require.NotNil(t, connection.Begin(http.MethodGet, 0))
	count, err = connection.Read(buffer)
	require.Equal(t, whole, buffer[:count], "the surplus is not read")
	reason, _ := ReasonOf(err)
	require.Equal(t, ReasonSurplus, reason)
	require.Nil(t, connection.Begin(http.MethodGet, 0))
}

// TestHeadsUseTheBudget checks that heads reserve memory until the holder of the response releases it.
func TestHeadsUseTheBudget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n"
	size := intake.HeadMemory(len(head), strings.Count(head, "\n")) - freeHeadBytes
	bounds := limits(size)
	receive := func() (*HeadMemory, error) {
		connection := NewConn(&scriptedConn{pieces: [][]byte{[]byte(head)}, readEnd: io.EOF}, bounds)
		memory := connection.Begin(http.MethodGet, 0)
		require.NotNil(t, memory)
		_, err := io.ReadAll(connection)
		return memory, err
	}
	first, err := receive()
	require.NoError(t, err)
	require.Equal(t, size, bounds.Memory.Reserved())
	second, err := receive()
	reason, _ := ReasonOf(err)
	require.Equal(t, ReasonTooLarge, reason, "no room is left")
	second.Release()

	first.Release()
	require.Zero(t, bounds.Memory.Reserved())
	third, err := receive()
	require.NoError(t, err)
	third.Release()
	third.Release()
	require.Zero(t, bounds.Memory.Reserved())
	require.True(t, third.resize(len(head), len(head)))
	require.Zero(t, bounds.Memory.Reserved(), "nothing is reserved for a response that nobody holds")
}

// responseGenerator draws valid responses.
func responseGenerator() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		text := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", rapid.IntRange(0, 2).Draw(t, "interim"))
		text += fmt.Sprintf("HTTP/1.1 %d OK\r\n", rapid.SampledFrom([]int{200, 204, 304, 404, 503}).Draw(t, "status"))
		for range rapid.IntRange(0, 3).Draw(t, "fields") {
			text += "Name: some value\r\n"
		}
		body := rapid.StringMatching(`[ -~\r\n]{0,40}`).Draw(t, "body")
		if rapid.Bool().Draw(t, "has a length") {
			return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		text += "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			size := rapid.IntRange(1, len(body)).Draw(t, "chunk")
			text += fmt.Sprintf("%x\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
		return text + "0\r\n" + strings.Repeat("Name: x\r\n", rapid.IntRange(0, 1).Draw(t, "trailer")) + "\r\n"
	})
}

// TestWhatIsAcceptedIsWhole checks on responses with damaged bytes, in pieces of any size, that the verdict does not depend
// on the pieces, and that net/http reads what is accepted as one whole response without anything after it.
func TestWhatIsAcceptedIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(responseGenerator().Draw(t, "response"))
		for range rapid.IntRange(0, 2).Draw(t, "damaged bytes") {
			position := rapid.IntRange(0, len(text)-1).Draw(t, "position")
			if rapid.Bool().Draw(t, "is removed") {
				text = append(text[:position:position], text[position+1:]...)
				continue
			}
			text[position] = rapid.SampledFrom([]byte(" \t\r\n\x00:;,0aA/\x7f\xff")).Draw(t, "byte")
		}
		var pieces [][]byte
		for rest := text; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces = append(pieces, bytes.Clone(rest[:size]))
			rest = rest[size:]
		}
		_, wholeErr := receive(t, http.MethodGet, bytes.Clone(text))
		read, err := receive(t, http.MethodGet, pieces...)
		require.Equal(t, wholeErr == nil, err == nil, "%v, %v", wholeErr, err)
		if err != nil {
			return
		}
		require.Equal(t, string(text), read)
		requireWhole(t, text)
	})
}

// requireWhole requires that net/http reads the text as interim responses and a response, and nothing after it.
func requireWhole(t *rapid.T, text []byte) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		if response.StatusCode >= http.StatusOK {
			break
		}
	}
	_, err := reader.ReadByte()
	require.True(t, errors.Is(err, io.EOF), "%v", err)
}
