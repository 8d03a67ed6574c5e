package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/responsecheck"
	"github.com/dillchute/dillchute/server"
	"github.com/dillchute/dillchute/transport"
)

type capacityCommand struct {
	Directories []string      `required:"" env:"DILLCHUTE_DIRECTORIES" help:"Metrics addresses of the directory's replicas."`
	Timeout     time.Duration `default:"10s" help:"How long to try, the same for each replica."`
}

// Run prints the status of each pool of backends as the directory's leader reports it.
func (c capacityCommand) Run(ctx context.Context, streams Streams) error {
	var lastError error
	for _, address := range c.Directories {
		pools, err := readCapacity(ctx, address, c.Timeout/time.Duration(len(c.Directories)))
		if err != nil {
			lastError = err
			continue
		}
		for _, pool := range pools {
			kind := capacity.Pool{Reclaimable: pool.Reclaimable}.Kind()
			fmt.Fprintf(streams.Out, "%s\t%s\t%s\twanted=%d\tordered=%d\tbooting=%d\tready=%d\tdraining=%d\tsilent=%d\treason=%s\tpaused=%t\theld=%t\n",
				pool.Service, pool.Zone, kind, pool.Wanted, pool.Ordered, pool.Booting, pool.Ready, pool.Draining, pool.Silent, pool.Reason, pool.Paused, pool.Held)
		}
		return nil
	}
	return ErrFailed.Wrap(lastError, "no replica returned the capacity status")
}

const (
	// maxCapacityHeadBytes and maxCapacityBytes bound what a replica returns as the status of all pools.
	maxCapacityHeadBytes = 64 << 10
	maxCapacityBytes     = 32 << 20
)

func capacityClient() *http.Client {
	return responsecheck.NewClient(transport.NewHTTPTransport(), responsecheck.Limits{HeadBytes: maxCapacityHeadBytes, Memory: intake.Unlimited()})
}

// readCapacity reads the pools' status from the replica with the given metrics address.
func readCapacity(ctx context.Context, address string, timeout time.Duration) ([]server.PoolStatus, error) {
	requestContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(requestContext, http.MethodGet, "http://"+address+server.CapacityPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := capacityClient().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, ErrFailed.New("%s: %s", address, response.Status)
	}
	var pools []server.PoolStatus
	return pools, responsecheck.DecodeJSON(response, maxCapacityBytes, &pools)
}
