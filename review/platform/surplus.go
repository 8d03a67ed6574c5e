//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

// The script surplusRefusal: requests of an `unsafe` route before workers that are full now and then. With
// trouble, the workers send a share of their answers a second time, late: in the place of the answer to the next
// request on that connection. It carries the Request-Id of the earlier request.

const (
	workerCount     = 5
	workerSlots     = 6
	workerQueue     = 1
	workMillis      = 25
	clientCount     = 75
	playTime        = 40 * time.Second
	settleTime      = 2 * time.Second
	clientDeadline  = 1500
	troubledWorkers = 3
	// surplusShare is the share x of the answers that are sent again, as in the site's `garble` (extra late).
	surplusShare = 0.03
	caseHost     = "ficu95.example"
	casePath     = "/lohu930/2f"
	caseService  = "huvo11a"
)

// The site's `garble` (extra late) lasts 5 s; it strikes again after as long a pause.
const (
	strikeTime = 5 * time.Second
	pauseTime  = 5 * time.Second
)

// strikes reports whether a strike is going on, in a case that began at the time.
func strikes(began time.Time) bool { return time.Since(began)%(strikeTime+pauseTime) < strikeTime }

// runs counts how often each request has begun to run, and where.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]string
}

func (r *runs) begin(id, worker string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byID[id] = append(r.byID[id], worker)
}

func (r *runs) of(id string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.byID[id]
}

// worker is a worker of the service.
type worker struct {
	id, address, zone string
	trouble           bool
	runs              *runs
	record            *record
	// slots holds a token for each request at work, places one for each request at work or queued.
	slots, places chan struct{}
	listener      net.Listener
}

func newWorker(f *fleet, number int, trouble bool, started *runs, log *record) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(f.address(100+number), "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), address: listener.Addr().String(), zone: zoneName(number % zoneCount),
		trouble: trouble && number < troubledWorkers, runs: started, record: log,
		slots: make(chan struct{}, workerSlots), places: make(chan struct{}, workerSlots+workerQueue), listener: listener,
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(connection)
		}
	}()
	return w, nil
}

// heartbeats sends heartbeats until the channel is closed.
func (w *worker) heartbeats(f *fleet, stop chan struct{}) {
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": caseService, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots,
			"state": "ready", "cold-left-ms": 0, "seq": sequence,
		})
		if err := f.control(http.MethodPut, "/dillchute/instances/"+w.id, body, time.Second); err != nil {
			w.record.line("heartbeat of %s: %v", w.id, err)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// serve serves one request after the other on a connection.
func (w *worker) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	// surplus is the copy of an answer that is still to be sent.
	var surplus []byte
	surplusOf := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if surplus != nil {
			w.record.line("worker %s: sends again, late, the answer to %s; the answer to %s is due", w.id, surplusOf, id)
			if _, err := connection.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		status, answer := w.answer(request, id)
		w.record.line("worker %s: answers %s with %d", w.id, id, status)
		if _, err := connection.Write(answer); err != nil {
			return
		}
		if w.trouble && strikes(w.record.start) && rand.Float64() < surplusShare {
			surplus, surplusOf = answer, id
		}
	}
}

// answer runs the request, or rejects it if the worker is not the expected one or is full.
func (w *worker) answer(request *http.Request, id string) (int, []byte) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		return w.encode(http.StatusMisdirectedRequest, id, true)
	}
	select {
	case w.places <- struct{}{}:
	default:
		return w.encode(http.StatusServiceUnavailable, id, true)
	}
	defer func() { <-w.places }()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.runs.begin(id, w.id)
	w.record.line("worker %s: runs %s", w.id, id)
	time.Sleep(time.Duration(float64(workMillis)*(0.5+rand.Float64())) * time.Millisecond)
	return w.encode(http.StatusOK, id, false)
}

func (w *worker) encode(status int, id string, notRun bool) (int, []byte) {
	response := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	response.Header.Set("Request-Id", id)
	if notRun {
		response.Header.Set("Not-Run", "1")
	} else {
		response.Header.Set("Server-Stamp", fmt.Sprintf("%s.%s", w.id, id))
	}
	response.Header.Set("Content-Length", "0")
	encoded, err := httputil.DumpResponse(response, false)
	if err != nil {
		panic(err)
	}
	return status, encoded
}

// sent is one client attempt.
type sent struct {
	id     string
	status int
}

// client sends requests one after the other on a kept connection to one gateway.
func client(address string, stop chan struct{}, log *record, results chan<- sent) {
	caller := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: clientDeadline * time.Millisecond}
	defer caller.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		log.line("client: sends %s to %s", id, address)
		status := 0
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+casePath, nil)
		request.Host = caseHost
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", strconv.Itoa(clientDeadline))
		if response, err := caller.Do(request); err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		log.line("client: %s is answered with %d", id, status)
		results <- sent{id, status}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

const configuration = `{"version":1,"routes":[{"name":"r-unsafe","host":"` + caseHost + `","path-prefix":"/lohu930/","kind":"unsafe","timeout-ms":1500,"target-ms":150,"priority":2,"service":"` + caseService + `","max-attempts":3}],` +
	`"services":[{"name":"` + caseService + `","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":33554432,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func surplusRefusal(f *fleet, log *record, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.control(http.MethodPut, "/dillchute/config", []byte(configuration), 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	started := &runs{byID: map[string][]string{}}
	stopWorkers := make(chan struct{})
	for number := range workerCount {
		w, err := newWorker(f, number, trouble, started, log)
		if err != nil {
			return false, err
		}
		defer w.listener.Close()
		go w.heartbeats(f, stopWorkers)
	}
	time.Sleep(settleTime)
	answered := playClients(f, log)
	time.Sleep(settleTime)
	close(stopWorkers)
	return judge(answered, started, log), nil
}

// playClients plays the clients and returns all attempts.
func playClients(f *fleet, log *record) []sent {
	results, stop := make(chan sent), make(chan struct{})
	var clients sync.WaitGroup
	for number := range clientCount {
		gateway := f.gateways[number%len(f.gateways)]
		clients.Go(func() { client(fmt.Sprintf("%s:%d", gateway.address, f.ports.front), stop, log, results) })
	}
	go func() {
		time.Sleep(playTime)
		close(stop)
		clients.Wait()
		close(results)
	}()
	var answered []sent
	for result := range results {
		answered = append(answered, result)
	}
	return answered
}

// judge checks REFUSED and, for the record, TWICE: a request of the unsafe route runs at most once, and not at all
// if it was answered with a promise.
func judge(answered []sent, started *runs, log *record) bool {
	statuses := map[int]int{}
	twice, refused := 0, 0
	for _, request := range answered {
		statuses[request.status]++
		where := started.of(request.id)
		if len(where) > 1 {
			twice++
			log.line("TWICE: %s ran %d times, at %v; answered with %d", request.id, len(where), where, request.status)
		}
		switch request.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(where) > 0 {
				refused++
				log.line("REFUSED: %s was answered with %d, and ran at %v", request.id, request.status, where)
			}
		}
	}
	log.line("requests by status: %v; ran more than once: %d; refused, but ran: %d", statuses, twice, refused)
	return refused > 0
}
