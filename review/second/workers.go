//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is the stand-in of one worker: a model worker if its service has a model, and a plain one otherwise.
type worker struct {
	id, service, zone, address, model string
	slots                             int
	fleet                             *fleet
	// answer handles a request of a plain worker.
	answer func(w *worker, response http.ResponseWriter, request *http.Request, body []byte)

	mutex          sync.Mutex
	running        int
	version, loads uint64
	orders         uint64
	loadingUntil   time.Time
	beats          int
}

const (
	eventCount = 24
	eventPause = 30 * time.Millisecond
	loadTime   = 900 * time.Millisecond
)

// start serves the worker and sends its heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address, w.version = listener.Addr().String(), 1
	go func() {
		// The server runs until the process ends.
		_ = http.Serve(listener, w)
	}()
	go func() {
		for {
			w.beat()
			time.Sleep(beatMillis * time.Millisecond)
		}
	}()
	return nil
}

func (w *worker) beat() {
	w.mutex.Lock()
	w.beats++
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold-left-ms": 0, "seq": w.beats,
	}
	if w.model != "" {
		body["stage"], body["models"] = "both", w.models()
	}
	w.mutex.Unlock()
	w.fleet.control(http.MethodPut, "/dillchute/instances/"+w.id, body, time.Second)
}

func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": w.model, "version": w.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.finishLoad()
	switch request.URL.Path {
	case "/health":
		response.Header().Set("Instance-Id", w.id)
		return
	case "/dillchute/report":
		w.report(response)
		return
	case "/dillchute/order":
		w.order(response, body)
		return
	}
	id := request.Header.Get("Request-Id")
	response.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.begin() {
		response.Header().Set("Not-Run", "full")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	if w.model == "" {
		w.answer(w, response, request, body)
		return
	}
	w.stream(response, request)
}

// queued is the number of requests that a worker takes beyond its slots.
const queued = 24

func (w *worker) begin() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running >= w.slots+queued || time.Now().Before(w.loadingUntil) {
		return false
	}
	w.running++
	return true
}

func (w *worker) end() {
	w.mutex.Lock()
	w.running--
	w.mutex.Unlock()
}

// stamp returns a signature that no other answer has.
func (w *worker) stamp(id string) string {
	return fmt.Sprintf("%s.%s.%d", w.id, id, time.Now().UnixNano())
}

// stream runs an item and writes its events after Last-Event-Id.
func (w *worker) stream(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.mutex.Lock()
	version := w.version
	w.mutex.Unlock()
	response.Header().Set("Content-Type", "text/event-stream")
	response.Header().Set("Server-Stamp", w.stamp(id))
	response.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	for number := last + 1; number <= eventCount; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventPause):
		}
		fmt.Fprintf(response, "id: %d\ndata: %s/%d\n\n", number, id, number)
		if http.NewResponseController(response).Flush() != nil {
			return
		}
	}
}

// wholeText is the text of an item as a result shows it.
func wholeText(id string) string {
	events := make([]string, eventCount)
	for number := range events {
		events[number] = fmt.Sprintf("%s/%d", id, number+1)
	}
	return strings.Join(events, "\n")
}

func (w *worker) report(response http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(map[string]any{
		"stage": "both", "models": w.models(), "num-busy": time.Now().Before(w.loadingUntil), "seq": w.orders,
		"num-waiting": 0, "num-running": w.running, "kv-used": 0, "kv-total": 103490, "handles": 0,
	})
}

// order takes an order to load a version. Runs in progress go on under the version that they began with.
func (w *worker) order(response http.ResponseWriter, body []byte) {
	var order struct {
		Version uint64  `json:"version"`
		IfRev   *uint64 `json:"if-rev"`
	}
	if json.Unmarshal(body, &order) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case time.Now().Before(w.loadingUntil) || order.IfRev != nil && *order.IfRev != w.orders:
		response.WriteHeader(http.StatusConflict)
	case order.Version <= w.version:
		response.WriteHeader(http.StatusOK)
	default:
		w.orders++
		w.loads, w.loadingUntil = order.Version, time.Now().Add(loadTime)
		response.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) finishLoad() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.loads > w.version && time.Now().After(w.loadingUntil) {
		w.version = w.loads
	}
}
