package server

import (
	"context"
	"net/http"

	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/responsecheck"
	"github.com/dillchute/dillchute/transport"
)

const (
	// maxOutsideHeadBytes and maxOutsideBodyBytes bound the heads and the JSON texts of services outside: engines, the list of
	// engines and scoring services.
	maxOutsideHeadBytes = 64 << 10
	maxOutsideBodyBytes = 4 << 20
)

// outsideLimits are those of responses from services outside.
func outsideLimits() responsecheck.Limits {
	return responsecheck.Limits{HeadBytes: maxOutsideHeadBytes, Memory: intake.Unlimited()}
}

// newOutsideClient returns a client for services outside.
func newOutsideClient() *http.Client {
	return responsecheck.NewClient(transport.NewHTTPTransport(), outsideLimits())
}

// getJSON reads a JSON text from the URL into the target.
func getJSON(ctx context.Context, client *http.Client, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errUnexpectedStatus.New("%s responded with status %d", url, response.StatusCode)
	}
	return responsecheck.DecodeJSON(response, maxOutsideBodyBytes, target)
}
