package standin

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// WeightStore simulates a weight store with a limited rate of loads.
type WeightStore struct {
	Address        string  `required:"" help:"IP address and port to listen on."`
	LoadsPerSecond float64 `default:"20" help:"Weight loads delivered a second, over all engines."`
}

// Run serves until the context ends.
func (w *WeightStore) Run(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(w.LoadsPerSecond), 1)
	router := mux.NewRouter()
	router.HandleFunc("/v1/weights", func(response http.ResponseWriter, request *http.Request) {
		if limiter.Wait(request.Context()) != nil {
			return
		}
		response.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return serve(ctx, w.Address, router)
}

// Platform serves the list of engines from a file, delayed by a lag.
type Platform struct {
	Address string        `required:"" help:"IP address and port to listen on."`
	List    string        `required:"" help:"File with the list of engines, as JSON."`
	Lag     time.Duration `default:"1s" help:"Time until a change of the file shows."`
}

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	var served, latest []byte
	var readAt time.Time
	lock := make(chan struct{}, 1)
	router := mux.NewRouter()
	router.HandleFunc("/v1/engines", func(response http.ResponseWriter, _ *http.Request) {
		lock <- struct{}{}
		defer func() { <-lock }()
		if time.Since(readAt) >= p.Lag {
			served = latest
			if current, err := os.ReadFile(p.List); err == nil {
				latest, readAt = current, time.Now()
			}
		}
		if served == nil {
			served = latest
		}
		response.Header().Set("Content-Type", "application/json")
		// An error means that the client disconnected.
		_, _ = response.Write(served)
	}).Methods(http.MethodGet)
	return serve(ctx, p.Address, router)
}

// Scorer computes rewards for results.
type Scorer struct {
	Address string        `required:"" help:"IP address and port to listen on."`
	Delay   time.Duration `default:"20ms" help:"Time to score a result."`
}

type scoreBody struct {
	Tokens []uint32 `json:"tokens"`
}

type scoreReply struct {
	Reward float64 `json:"reward"`
}

// Run serves until the context ends.
func (s *Scorer) Run(ctx context.Context) error {
	router := mux.NewRouter()
	router.HandleFunc("/v1/score", func(response http.ResponseWriter, request *http.Request) {
		var body scoreBody
		if !readJSON(response, request, &body) {
			return
		}
		select {
		case <-time.After(s.Delay):
		case <-request.Context().Done():
			return
		}
		writeJSON(response, http.StatusOK, scoreReply{Reward: reward(body.Tokens)})
	}).Methods(http.MethodPost)
	return serve(ctx, s.Address, router)
}

// reward returns an arbitrary deterministic reward between 0 and 1.
func reward(tokens []uint32) float64 {
	sum := uint32(0)
	for _, token := range tokens {
		sum += token
	}
	return float64(sum) / (1 << 32)
}
