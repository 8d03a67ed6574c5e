package replica

import (
	"bytes"
	"context"
	"net/http"

	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/transport"
)

// maxResponseBytes limits the size of a response from another process.
const maxResponseBytes = 256 << 20

// freeResponseBytes of each response need no reservation.
const freeResponseBytes = 16 << 10

// PostInternal sends a request to another process of the system and returns the response body. Any
// status but 200 is an ErrUnavailable error.
func PostInternal(ctx context.Context, client *http.Client, url string, body []byte) ([]byte, error) {
	read, err := PostInternalWithin(ctx, client, url, body, intake.Unlimited())
	return read.Bytes, err
}

// PostInternalWithin is like PostInternal. The memory for the response comes from the budget until it is released.
func PostInternalWithin(ctx context.Context, client *http.Client, url string, body []byte, budget *intake.Budget) (intake.Body, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return intake.Body{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return intake.Body{}, err
	}
	defer response.Body.Close()
	read, err := budget.Read(response.Body, response.ContentLength, maxResponseBytes, freeResponseBytes)
	if err != nil {
		return intake.Body{}, err
	}
	if response.StatusCode != http.StatusOK {
		read.Release()
		return intake.Body{}, ErrUnavailable.New("%s responded with status %d", url, response.StatusCode)
	}
	return read, nil
}

// NewInternalClient returns a client for requests between the system's processes.
func NewInternalClient() *http.Client {
	return &http.Client{Transport: transport.NewInternalTransport()}
}
