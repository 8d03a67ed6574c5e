package command_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/server"
)

// TestCapacityPrintsLeaderPlan checks that the leader's status is printed, also if a follower is listed first.
func TestCapacityPrintsLeaderPlan(t *testing.T) {
	follower := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer follower.Close()
	leader := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		require.Equal(t, server.CapacityPath, request.URL.Path)
		_, _ = response.Write([]byte(`[{"service":"s","zone":"z","reclaimable":true,"reason":"late","wanted":6,"ordered":6,"booting":4,"ready":2,"held":true}]`))
	}))
	defer leader.Close()
	directories := follower.Listener.Addr().String() + "," + leader.Listener.Addr().String()
	d := &deployment{t: t}
	const line = "s\tz\treclaimable\twanted=6\tordered=6\tbooting=4\tready=2\tdraining=0\tsilent=0\treason=late\tpaused=false\theld=true\n"
	d.expectOutput(0, line, "capacity", "--directories", directories)
	d.expectOutput(1, "no replica returned the capacity status", "capacity", "--directories", follower.Listener.Addr().String())
	d.expectOutput(2, "--directories", "capacity")
}
