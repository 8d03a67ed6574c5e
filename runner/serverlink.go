package runner

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// reportInterval is the time between two reports of new events. The leader evaluates texts at most
	// every 100 ms.
	reportInterval = 100 * time.Millisecond
	// endDelay is how long the end of a run is delayed to batch it with others.
	endDelay = 10 * time.Millisecond
	// completedRetention is how long a completed run is kept after its end was reported, in case the
	// leader fails before it has recorded the result. It covers leaderTimeout plus the time to score and
	// record the text. Other ends are reported only once, so that a failure is not counted twice.
	completedRetention = 2 * time.Second
)

// completedRun is a completed run whose end was reported.
type completedRun struct {
	run        *serverRun
	reportedAt time.Time
}

// serverLink is the runner's side of a link.
type serverLink struct {
	server     *Server
	context    context.Context
	cancel     context.CancelFunc
	controller *http.ResponseController
	term       uint64
	// adoptedCount counts the runs of earlier links, startedCount those started on this link and
	// staleCount the refused stale starts.
	adoptedCount, startedCount, staleCount int
	// changed signals new events, ended the end of a run.
	changed, ended chan struct{}

	mutex sync.Mutex
	// closed is set once the runs were removed from the link, superseded if a link of a later term
	// replaced it.
	closed, superseded bool
	runs               map[uint64]*serverRun
	// completed holds the recently reported completed runs, oldest first.
	completed []completedRun
	// adopted holds the numbers of the orphaned runs for the first report.
	adopted []uint64
	// staleStarts holds the numbers of stale starts that are to be reported as interrupted.
	staleStarts []uint64
	// reportedAt holds the times of the newest reports, oldest first; firstReportNumber is the number of
	// the first of them. The opening of the link counts as report 0.
	reportedAt        []time.Time
	firstReportNumber uint64
}

func newServerLink(server *Server, parent context.Context, term uint64, controller *http.ResponseController) *serverLink {
	ctx, cancel := context.WithCancel(parent)
	return &serverLink{
		server: server, context: ctx, cancel: cancel, term: term, controller: controller,
		runs: map[uint64]*serverRun{}, reportedAt: []time.Time{clock.Now()},
		changed: make(chan struct{}, 1), ended: make(chan struct{}, 1),
	}
}

// adoptRuns transfers runs of earlier links to the link.
func (l *serverLink) adoptRuns(runs []*serverRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.adoptedCount = len(runs)
	for i, run := range runs {
		number := uint64(firstOrphanNumber + i)
		run.setOwner(l)
		l.runs[number] = run
		l.adopted = append(l.adopted, number)
	}
}

// detach closes the link and returns its runs.
func (l *serverLink) detach() []*serverRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancel()
	return l.takeRuns()
}

// supersede returns the runs of the link for a new link of the given term. If the term is later, the
// link closes after a last report that says so; otherwise the same leader has reconnected and the link
// closes at once.
func (l *serverLink) supersede(term uint64) []*serverRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if term > l.term {
		l.superseded = true
		wake(l.ended)
	} else {
		l.cancel()
	}
	return l.takeRuns()
}

func (l *serverLink) takeRuns() []*serverRun {
	l.closed = true
	runs := make([]*serverRun, 0, len(l.runs))
	for _, run := range l.runs {
		run.setOwner(nil)
		runs = append(runs, run)
	}
	clear(l.runs)
	l.expireCompleted()
	for _, ended := range l.completed {
		runs = append(runs, ended.run)
	}
	l.completed = nil
	return runs
}

// expireCompleted drops the completed runs whose end was reported more than completedRetention ago.
func (l *serverLink) expireCompleted() {
	oldest := clock.Now().Add(-completedRetention)
	l.completed = slices.DeleteFunc(l.completed, func(run completedRun) bool { return run.reportedAt.Before(oldest) })
}

// serve exchanges messages until the connection ends or the leader is silent for too long.
func (l *serverLink) serve(reader *bufio.Reader, writer io.Writer) {
	stop := context.AfterFunc(l.context, l.interrupt)
	defer stop()
	var reporting sync.WaitGroup
	reporting.Go(func() {
		defer l.cancel()
		l.sendReports(writer)
	})
	l.receiveCommands(reader)
	l.cancel()
	reporting.Wait()
}

// interrupt unblocks pending reads and writes.
func (l *serverLink) interrupt() {
	now := time.Now()
	// Errors are ignored: without deadlines, serve returns when the connection ends.
	_ = l.controller.SetReadDeadline(now)
	_ = l.controller.SetWriteDeadline(now)
}

// receiveCommands applies the leader's commands.
func (l *serverLink) receiveCommands(reader *bufio.Reader) {
	watchdog := time.AfterFunc(leaderTimeout, l.cancel)
	defer watchdog.Stop()
	for {
		var message commands
		if readMessage(l.server.Memory, reader, &message) != nil || l.context.Err() != nil {
			return
		}
		watchdog.Reset(leaderTimeout)
		for _, number := range message.Cancels {
			l.cancelRun(number)
		}
		for _, start := range message.Starts {
			l.startRun(start, message.Heard)
		}
	}
}

// startRun starts a run, or reports it as interrupted if the start is stale.
func (l *serverLink) startRun(request start, lastReport uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.closed:
	case !l.isRecentReport(lastReport):
		l.staleCount++
		l.staleStarts = append(l.staleStarts, request.Run)
		wake(l.ended)
	default:
		l.startedCount++
		l.runs[request.Run] = l.server.startRun(request, l)
	}
}

// isRecentReport reports whether the report was sent within maxReportAge.
func (l *serverLink) isRecentReport(number uint64) bool {
	oldest := clock.Now().Add(-maxReportAge)
	for len(l.reportedAt) > 1 && l.reportedAt[0].Before(oldest) {
		l.reportedAt = l.reportedAt[1:]
		l.firstReportNumber++
	}
	position := int(number) - int(l.firstReportNumber)
	return position >= 0 && position < len(l.reportedAt) && l.reportedAt[position].After(oldest)
}

// cancelRun cancels a run. Events received until then are reported with its end.
func (l *serverLink) cancelRun(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if run := l.runs[number]; run != nil {
		run.cancel()
	}
}

// sendReports writes reports until the link ends: the ends of runs after endDelay, events each
// reportInterval, and an empty report each keepaliveInterval.
func (l *serverLink) sendReports(writer io.Writer) {
	buffered := bufio.NewWriter(writer)
	for {
		next := l.nextReport()
		if writeMessage(buffered, next) != nil || buffered.Flush() != nil || l.controller.Flush() != nil {
			return
		}
		if next.Superseded || !l.waitForNextReport(time.Now()) {
			return
		}
	}
}

// waitForNextReport waits until the next report is due. It returns false if the link ends.
func (l *serverLink) waitForNextReport(sentAt time.Time) bool {
	timer := time.NewTimer(time.Until(sentAt.Add(keepaliveInterval)))
	defer timer.Stop()
	changed := l.changed
	for {
		select {
		case <-l.context.Done():
			return false
		case <-timer.C:
			return true
		case <-changed:
			// Further changes do not affect the time of the next report.
			changed = nil
			timer.Reset(time.Until(sentAt.Add(reportInterval)))
		case <-l.ended:
			sleep(l.context, endDelay)
			return true
		}
	}
}

// nextReport returns the next report and removes the runs whose end it contains. The first report lists
// the orphaned runs instead.
func (l *serverLink) nextReport() report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reportedAt = append(l.reportedAt, clock.Now())
	next := report{Number: l.firstReportNumber + uint64(len(l.reportedAt)) - 1, Superseded: l.superseded}
	if next.Number == 1 {
		for _, number := range l.adopted {
			if run := l.runs[number]; run != nil {
				next.Held = append(next.Held, run.takeOrphanReport(number))
			}
		}
		return next
	}
	for _, number := range l.staleStarts {
		next.Runs = append(next.Runs, runReport{Run: number, End: scheduler.Interrupted})
	}
	l.staleStarts = nil
	l.expireCompleted()
	for number, run := range l.runs {
		update, hasUpdate := run.takeReport(number)
		if hasUpdate {
			next.Runs = append(next.Runs, update)
		}
		if update.End != 0 {
			delete(l.runs, number)
		}
		if update.End == scheduler.Complete {
			l.completed = append(l.completed, completedRun{run: run, reportedAt: clock.Now()})
		}
	}
	return next
}

// wake sends a signal unless one is pending already.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
