package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

const shutdownTimeout = 2 * time.Second

// serve listens on the address and serves until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serveOn(ctx, listener, handler)
}

func serveOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(limited) != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	// The peer may have gone; there is nobody to tell then.
	_ = json.NewEncoder(response).Encode(body)
}

// maxBody bounds what a stand-in reads of a request.
const maxBody = 16 << 20

func readJSON(response http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxBody)).Decode(into); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
