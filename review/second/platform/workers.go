//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// events is the number of events of an item, and pause the time between two of them.
	events int
	pause  time.Duration
	// onRun is called, if set, when an item begins and when it ends, with the number of its last event then.
	onRun func(w *worker, item string, begins bool, last int)
	// onEvent is called, if set, for each event that is sent, with the version that made it.
	onEvent func(item string, event int, version uint64)
	// spoilsVersion reports, if set, whether the name of the header with the version has a wrong byte in the answer that
	// continues the item after an event.
	spoilsVersion func(w *worker, item string, after int) bool
	// spoils reports, if set, whether an event of the item's answer has a wrong byte.
	spoils func(w *worker, item string) bool

	// places holds a token for each request that is being worked on.
	places  chan struct{}
	mutex   sync.Mutex
	server  *http.Server
	gone    bool
	running int
	version uint64
	orders  uint64
	// ordered is the version that an order asked for, 0 if none is under way. It is loaded from loadingSince on, which
	// is zero while runs must end first.
	ordered      uint64
	waits        bool
	loadingSince time.Time
	beats        int
}

const loadTime = 900 * time.Millisecond

// start serves the worker and sends its heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.places = make(chan struct{}, w.slots)
	w.address, w.version, w.server = listener.Addr().String(), 1, &http.Server{Handler: w}
	go func() {
		// The server runs until the worker crashes or the process ends.
		_ = w.server.Serve(listener)
	}()
	go func() {
		for !w.isGone() {
			w.beat()
			time.Sleep(beatMillis * time.Millisecond)
		}
	}()
	return nil
}

// crash ends the worker for good: its connections break off and it sends nothing more.
func (w *worker) crash() {
	w.mutex.Lock()
	w.gone = true
	w.mutex.Unlock()
	_ = w.server.Close()
}

func (w *worker) isGone() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.gone
}

// load reports how many requests run, and the version.
func (w *worker) load() (running int, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running, w.version
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
	w.advanceLoad()
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
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-request.Context().Done():
		return
	}
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
	if w.running >= w.slots+queued || w.ordered != 0 {
		return false
	}
	w.running++
	return true
}

func (w *worker) end() {
	w.mutex.Lock()
	w.running--
	w.mutex.Unlock()
	w.advanceLoad()
}

// stamp returns a signature that no other answer has.
func (w *worker) stamp(id string) string {
	return fmt.Sprintf("%s.%s.%d", w.id, id, time.Now().UnixNano())
}

// stream runs an item and writes its events after Last-Event-Id.
func (w *worker) stream(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if w.onRun != nil {
		w.onRun(w, id, true, last)
		defer func() { w.onRun(w, id, false, last) }()
	}
	_, version := w.load()
	response.Header().Set("Content-Type", "text/event-stream")
	response.Header().Set("Server-Stamp", w.stamp(id))
	versionField := "Weight-Versions"
	if w.spoilsVersion != nil && w.spoilsVersion(w, id, last) {
		versionField = "Weight-Vfrsions"
		w.fleet.out.add("worker %s spoils one byte of the head of its answer for item %s: %s: %d", w.id, id, versionField, version)
	}
	response.Header().Set(versionField, strconv.FormatUint(version, 10))
	spoiltEvent := 0
	if w.spoils != nil && w.spoils(w, id) {
		spoiltEvent = last + 3
	}
	for number := last + 1; number <= w.events; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(w.pause):
		}
		change := ""
		w.advanceLoad()
		if _, now := w.load(); now != version {
			version, change = now, fmt.Sprintf("weight-versions: %d\n", now)
		}
		data := fmt.Sprintf("%s/%d", id, number)
		if number == spoiltEvent {
			data = data[:1] + "\xff" + data[2:]
			w.fleet.out.add("worker %s spoils one byte of event %d of item %s", w.id, number, id)
		}
		fmt.Fprintf(response, "%sid: %d\ndata: %s\n\n", change, number, data)
		if http.NewResponseController(response).Flush() != nil {
			return
		}
		if last = number; w.onEvent != nil {
			w.onEvent(id, number, version)
		}
	}
}

func (w *worker) report(response http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(map[string]any{
		"stage": "both", "models": w.models(), "num-busy": w.ordered != 0, "seq": w.orders,
		"num-waiting": 0, "num-running": w.running, "kv-used": 0, "kv-total": 103490, "handles": 0,
	})
}

// order takes an order to load a version. With the manner retain, runs go on under the new version; with the others they
// end first.
func (w *worker) order(response http.ResponseWriter, body []byte) {
	var order struct {
		Version uint64  `json:"version"`
		Manner  string  `json:"manner"`
		IfRev   *uint64 `json:"if-rev"`
	}
	if json.Unmarshal(body, &order) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.ordered != 0 || order.IfRev != nil && *order.IfRev != w.orders:
		response.WriteHeader(http.StatusConflict)
	case order.Version <= w.version:
		response.WriteHeader(http.StatusOK)
	default:
		w.orders++
		w.ordered, w.waits, w.loadingSince = order.Version, order.Manner != "retain", time.Time{}
		if !w.waits || w.running == 0 {
			w.loadingSince = time.Now()
		}
		w.fleet.out.add("worker %s is ordered to load version %d (%s)", w.id, order.Version, order.Manner)
		response.WriteHeader(http.StatusAccepted)
	}
}

// advanceLoad begins and ends the load that is under way.
func (w *worker) advanceLoad() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.ordered == 0:
	case w.loadingSince.IsZero() && w.waits && w.running > 0:
	case w.loadingSince.IsZero():
		w.loadingSince = time.Now()
	case time.Since(w.loadingSince) >= loadTime:
		w.version, w.ordered = w.ordered, 0
		w.fleet.out.add("worker %s holds version %d", w.id, w.version)
	}
}
