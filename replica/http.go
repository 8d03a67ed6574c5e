package replica

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/dillchute/dillchute/transport"
)

// maxResponseBytes limits the size of a response from another process.
const maxResponseBytes = 256 << 20

// PostInternal sends a request to another process of the system and returns the response body. Any
// status but 200 is an ErrUnavailable error.
func PostInternal(ctx context.Context, client *http.Client, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrUnavailable.New("%s responded with status %d", url, response.StatusCode)
	}
	return data, nil
}

// NewInternalClient returns a client for requests between the system's processes.
func NewInternalClient() *http.Client {
	return &http.Client{Transport: transport.NewInternalTransport()}
}
