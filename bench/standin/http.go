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
	return serveListener(ctx, listener, handler)
}

func serveListener(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
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
	// An error means that the client disconnected.
	_ = json.NewEncoder(response).Encode(body)
}

// maxBodyBytes bounds the size of a request body and of a line of a streamed response.
const maxBodyBytes = 16 << 20

func readJSON(response http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxBodyBytes)).Decode(into); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
