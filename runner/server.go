package runner

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// reportInterval is the time between two reports of runs that go on. Checkpoints
	// and paces look at texts each 100 ms at the most.
	reportInterval = 100 * time.Millisecond
	// endDelay is how long the end of a run waits for others before it is reported.
	endDelay = 10 * time.Millisecond
)

// Server holds the streams of runs for leaders of the ledger.
type Server struct {
	engine Engine
	logger *zerolog.Logger
	// held is the number of runs that have not ended.
	held atomic.Int64
}

// NewServer returns a server that runs samples through the engine client.
func NewServer(engine Engine, logger *zerolog.Logger) *Server {
	return &Server{engine: engine, logger: logger}
}

// Held returns the number of runs that have not ended.
func (s *Server) Held() int64 { return s.held.Load() }

// ServeHTTP serves a link until either side ends it.
func (s *Server) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(response)
	if err := controller.EnableFullDuplex(); err != nil {
		http.Error(response, "links need HTTP/1.1", http.StatusHTTPVersionNotSupported)
		return
	}
	// The deadlines by which a link is ended would hold for a next request, too.
	response.Header().Set("Connection", "close")
	response.WriteHeader(http.StatusOK)
	if controller.Flush() != nil {
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	served := &serverLink{
		server: s, context: ctx, cancel: cancel, controller: controller,
		runs: map[uint64]*heldRun{}, reportedAt: []time.Time{time.Now()},
		changed: make(chan struct{}, 1), ended: make(chan struct{}, 1),
	}
	event.RunnerLinkOpened.On(s.logger).Str("leader", request.RemoteAddr).Send()
	served.serve(bufio.NewReader(request.Body), response)
	event.RunnerLinkEnded.On(s.logger).Str("leader", request.RemoteAddr).Uint("runs", uint64(served.started)).
		Uint("cut", uint64(served.cut)).Uint("late", uint64(served.late)).Send()
}

// serverLink is a link as its runner sees it.
type serverLink struct {
	server     *Server
	context    context.Context
	cancel     context.CancelFunc
	controller *http.ResponseController
	// started counts the runs, cut those that the link's end has cut, and late those
	// that were asked for too long ago.
	started, cut, late int
	// changed tells that there is something to report, and ended that a run has ended.
	changed, ended chan struct{}
	// wait is for the goroutines of the link.
	wait sync.WaitGroup

	mutex sync.Mutex
	runs  map[uint64]*heldRun
	// reportedAt holds when the newest reports were sent, the oldest first, of which
	// the first has the number firstReport. The link's begin counts as report 0.
	reportedAt  []time.Time
	firstReport uint64
}

// serve carries the link on until its connection ends or the leader is silent for too
// long, and then ends its runs.
func (l *serverLink) serve(reader *bufio.Reader, writer io.Writer) {
	stop := context.AfterFunc(l.context, l.interrupt)
	defer stop()
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		defer l.cancel()
		l.sendReports(writer)
	}()
	l.takeCommands(reader)
	l.mutex.Lock()
	l.cut = len(l.runs)
	l.mutex.Unlock()
	l.cancel()
	l.wait.Wait()
}

// interrupt ends reads and writes that wait.
func (l *serverLink) interrupt() {
	now := time.Now()
	// Where a connection has no deadlines, its end is waited for.
	_ = l.controller.SetReadDeadline(now)
	_ = l.controller.SetWriteDeadline(now)
}

// takeCommands carries out the leader's messages.
func (l *serverLink) takeCommands(reader *bufio.Reader) {
	silence := time.AfterFunc(leaderSilence, l.cancel)
	defer silence.Stop()
	for {
		var message commands
		if readMessage(reader, &message) != nil || l.context.Err() != nil {
			return
		}
		silence.Reset(leaderSilence)
		for _, number := range message.Cancels {
			l.cancelRun(number)
		}
		valid := l.isRecent(message.Heard)
		for _, start := range message.Starts {
			l.begin(start, valid)
		}
	}
}

// isRecent tells whether the report was sent, or the link opened, a short time ago.
func (l *serverLink) isRecent(number uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	oldest := time.Now().Add(-startValidity)
	for len(l.reportedAt) > 1 && l.reportedAt[0].Before(oldest) {
		l.reportedAt = l.reportedAt[1:]
		l.firstReport++
	}
	position := int(number) - int(l.firstReport)
	return position >= 0 && position < len(l.reportedAt) && l.reportedAt[position].After(oldest)
}

// begin starts a run, or reports it as interrupted where it was asked for too long ago.
func (l *serverLink) begin(asked start, valid bool) {
	ctx, cancel := context.WithCancel(l.context)
	run := &heldRun{number: asked.Run, cancel: cancel, last: asked.After}
	l.mutex.Lock()
	l.runs[asked.Run] = run
	l.mutex.Unlock()
	if !valid {
		l.late++
		l.finish(run, scheduler.Interrupted)
		return
	}
	l.started++
	l.server.held.Add(1)
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		defer l.server.held.Add(-1)
		request := Request{Backend: asked.Backend, Host: asked.Host, Sample: asked.Sample, After: asked.After}
		end := l.server.engine.Run(ctx, request, func(event Event) {
			run.add(event)
			wake(l.changed)
		})
		l.finish(run, end)
	}()
}

func (l *serverLink) finish(run *heldRun, end scheduler.RunEnd) {
	run.finish(end)
	run.cancel()
	wake(l.ended)
}

// cancelRun ends a run whose end the leader does not wait for.
func (l *serverLink) cancelRun(number uint64) {
	l.mutex.Lock()
	run := l.runs[number]
	delete(l.runs, number)
	l.mutex.Unlock()
	if run != nil {
		run.cancel()
	}
}

// wake makes the channel ready once.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sendReports writes reports until the link ends: the ends of runs soon, events that
// have gathered each reportInterval, and one now and then if there is nothing new.
func (l *serverLink) sendReports(writer io.Writer) {
	buffered := bufio.NewWriter(writer)
	sentAt := time.Now()
	for l.awaitReport(sentAt) {
		next := l.collect()
		if writeMessage(buffered, next) != nil || buffered.Flush() != nil || l.controller.Flush() != nil {
			return
		}
		sentAt = time.Now()
	}
}

// awaitReport waits until the next report is due, and tells whether the link goes on.
func (l *serverLink) awaitReport(sentAt time.Time) bool {
	due := time.NewTimer(time.Until(sentAt.Add(keepaliveInterval)))
	defer due.Stop()
	changed := l.changed
	for {
		select {
		case <-l.context.Done():
			return false
		case <-due.C:
			return true
		case <-changed:
			// What is new is told with the next report; further news change nothing.
			changed = nil
			due.Reset(time.Until(sentAt.Add(reportInterval)))
		case <-l.ended:
			sleep(l.context, endDelay)
			return true
		}
	}
}

// collect returns the next report, and forgets the runs whose ends it tells.
func (l *serverLink) collect() report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reportedAt = append(l.reportedAt, time.Now())
	next := report{Number: l.firstReport + uint64(len(l.reportedAt)) - 1}
	for number, run := range l.runs {
		news, any := run.takeReport()
		if any {
			next.Runs = append(next.Runs, news)
		}
		if news.End != 0 {
			delete(l.runs, number)
		}
	}
	return next
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
