package runner

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/scheduler"
)

// Server executes runs for the leader of the ledger. Each link carries the term of its leader, and only the
// newest term is served, on one link at a time. Runs continue for a short time without a link, and the next
// one offers these orphaned runs to its leader.
type Server struct {
	engine Engine
	logger *zerolog.Logger
	// Memory is the budget for messages that are being received. Set before the first link.
	Memory *intake.Budget
	// orphanTimeout is how long runs continue without a link.
	orphanTimeout time.Duration
	// activeRuns counts the runs that have not ended.
	activeRuns atomic.Int64

	mutex sync.Mutex
	// term is the newest term of any link, current the open link of that term or nil.
	term    uint64
	current *serverLink
	// orphans holds the runs without a link. orphanTimer cancels them.
	orphans     []*serverRun
	orphanTimer *time.Timer
	// closed is set once links are refused; links tracks the open ones.
	closed bool
	links  sync.WaitGroup
}

// NewServer returns a server that runs samples on the engine.
func NewServer(engine Engine, logger *zerolog.Logger) *Server {
	return &Server{engine: engine, logger: logger, Memory: intake.Unlimited(), orphanTimeout: orphanTimeout}
}

// Close closes all links, cancels all runs and waits until the links have closed.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	if s.current != nil {
		s.orphans = append(s.orphans, s.current.detach()...)
		s.current = nil
	}
	s.cancelOrphans()
	s.mutex.Unlock()
	s.links.Wait()
}

// cancelOrphans cancels the runs without a link.
func (s *Server) cancelOrphans() {
	if s.orphanTimer != nil {
		s.orphanTimer.Stop()
	}
	for _, run := range s.orphans {
		run.cancel()
	}
	s.orphans = nil
}

// ActiveRuns returns the number of runs that have not ended.
func (s *Server) ActiveRuns() int64 { return s.activeRuns.Load() }

// ServeHTTP serves a link until either side ends it.
func (s *Server) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	term, err := strconv.ParseUint(request.Header.Get(termHeader), 10, 64)
	if err != nil {
		http.Error(response, "a link needs a term", http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(response)
	if err := controller.EnableFullDuplex(); err != nil {
		http.Error(response, "links need HTTP/1.1", http.StatusHTTPVersionNotSupported)
		return
	}
	link := newServerLink(s, request.Context(), term, controller)
	defer link.cancel()
	if status := s.attach(link, term); status != http.StatusOK {
		http.Error(response, "this store takes no link of the term", status)
		return
	}
	defer s.links.Done()
	// The connection is not reused, since the deadlines that end a link would remain set.
	response.Header().Set("Connection", "close")
	response.WriteHeader(http.StatusOK)
	if controller.Flush() == nil {
		event.RunnerLinkOpened.On(s.logger).Str("leader", request.RemoteAddr).Uint("term", term).Uint("held", uint64(link.adoptedCount)).Send()
		link.serve(bufio.NewReader(request.Body), response)
	}
	orphaned := s.release(link)
	event.RunnerLinkClosed.On(s.logger).Str("leader", request.RemoteAddr).Uint("term", term).Uint("runs", uint64(link.startedCount)).
		Uint("left", uint64(orphaned)).Uint("late", uint64(link.staleCount)).Send()
}

// attach makes the link the current one and transfers all runs to it. It returns the status of the
// response: StatusConflict if the term is outdated, StatusServiceUnavailable once the server is closed.
func (s *Server) attach(link *serverLink, term uint64) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return http.StatusServiceUnavailable
	}
	if term < s.term {
		return http.StatusConflict
	}
	s.links.Add(1)
	if s.current != nil {
		s.orphans = append(s.orphans, s.current.supersede(term)...)
	}
	if s.orphanTimer != nil {
		s.orphanTimer.Stop()
	}
	s.term, s.current = term, link
	link.adoptRuns(s.orphans)
	s.orphans = nil
	return http.StatusOK
}

// release orphans the runs of a link that has ended and returns their number. The runs are cancelled
// if no other link opens within orphanTimeout.
func (s *Server) release(link *serverLink) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != link {
		return 0
	}
	s.current = nil
	s.orphans = link.detach()
	if len(s.orphans) > 0 {
		s.orphanTimer = time.AfterFunc(s.orphanTimeout, s.expireOrphans)
	}
	return len(s.orphans)
}

// expireOrphans cancels the runs that still have no link.
func (s *Server) expireOrphans() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.orphans) == 0 {
		return
	}
	event.OrphanedRunsEnded.On(s.logger).Uint("runs", uint64(len(s.orphans))).Send()
	s.cancelOrphans()
}

// run executes a run to its end, independently of the link that started it.
func (s *Server) run(ctx context.Context, run *serverRun, request Request) {
	s.activeRuns.Add(1)
	defer s.activeRuns.Add(-1)
	defer run.cancel()
	run.recordEnd(s.engine.Run(ctx, request, run.addEvent))
}

// startRun starts a run in a new goroutine.
func (s *Server) startRun(command start, owner *serverLink) *serverRun {
	ctx, cancel := context.WithCancel(context.Background())
	text := scheduler.Text{Events: command.Text.Events, Last: uint64(len(command.Text.Events)), Versions: command.Text.Versions}
	run := &serverRun{
		step: command.Step, sample: command.Sample.ID, engine: command.Backend.ID,
		cancel: cancel, owner: owner, text: text, textBytes: text.Size(), reportedEvents: len(text.Events),
	}
	request := Request{
		Backend: command.Backend, Step: command.Step, Host: command.Host, Tenant: command.Tenant, Sample: command.Sample, Text: text,
		KnownCrashes: command.Known, KnownKindCrashes: command.KindKnown,
	}
	go s.run(ctx, run, request)
	return run
}
