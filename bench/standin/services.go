package standin

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// WeightStore serves weights at a limited rate.
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

// Platform serves the list of engines, as it stands in a file, with a lag.
type Platform struct {
	Address string        `required:"" help:"IP address and port to listen on."`
	List    string        `required:"" help:"File with the list of engines, as JSON."`
	Lag     time.Duration `default:"1s" help:"Time until a change of the file shows."`
}

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	var shown, read []byte
	var readAt time.Time
	loop := make(chan struct{}, 1)
	router := mux.NewRouter()
	router.HandleFunc("/v1/engines", func(response http.ResponseWriter, _ *http.Request) {
		loop <- struct{}{}
		defer func() { <-loop }()
		if time.Since(readAt) >= p.Lag {
			shown = read
			if current, err := os.ReadFile(p.List); err == nil {
				read, readAt = current, time.Now()
			}
		}
		if shown == nil {
			shown = read
		}
		response.Header().Set("Content-Type", "application/json")
		// The peer may have gone; there is nobody to tell then.
		_, _ = response.Write(shown)
	}).Methods(http.MethodGet)
	return serve(ctx, p.Address, router)
}

// Scorer gives rewards to results.
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
		writeJSON(response, http.StatusOK, scoreReply{Reward: rewardOf(body.Tokens)})
	}).Methods(http.MethodPost)
	return serve(ctx, s.Address, router)
}

// rewardOf is any fixed function of the tokens, from 0 to 1.
func rewardOf(tokens []uint32) float64 {
	sum := uint32(0)
	for _, token := range tokens {
		sum += token
	}
	return float64(sum) / (1 << 32)
}
