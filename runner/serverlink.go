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
	// reportInterval is the time between two reports of runs that go on. Checkpoints
	// and paces look at texts each 100 ms at the most.
	reportInterval = 100 * time.Millisecond
	// endDelay is how long the end of a run waits for others before it is reported.
	endDelay = 10 * time.Millisecond
	// endedTime is how long a whole text is kept whose end was reported: a leader that is
	// lost may not have heard of it, or not have recorded its result yet. Scoring and
	// recording take some tenths of a second, and a silent leader is noticed after
	// leaderSilence. Other ends are told once: a failure must not count twice.
	completedRetention = 2 * time.Second
)

// endedRun is a run whose whole text was reported.
type completedRun struct {
	run        *serverRun
	reportedAt time.Time
}

// serverLink is a link as its runner sees it.
type serverLink struct {
	server     *Server
	context    context.Context
	cancel     context.CancelFunc
	controller *http.ResponseController
	term       uint64
	// broughtBack counts the runs of earlier links, started those that were asked for on
	// this one, and late those that were asked for too long ago.
	adoptedCount, startedCount, staleCount int
	// changed tells that there is something to report, and ended that a run has ended.
	changed, ended chan struct{}

	mutex sync.Mutex
	// closed is set once the runs have been taken from the link, and superseded if
	// another link has them.
	closed, superseded bool
	runs               map[uint64]*serverRun
	// told are the runs whose whole texts were reported lately, the earliest first.
	completed []completedRun
	// held are the numbers of the runs that the first report brings back.
	adopted []uint64
	// refused are starts that were asked for too long ago.
	staleStarts []uint64
	// reportedAt holds when the newest reports were sent, the oldest first, of which
	// the first has the number firstReport. The link's begin counts as report 0.
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

// bringBack has the link go on with runs of earlier ones.
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

// detach takes the runs from the link, and ends it.
func (l *serverLink) detach() []*serverRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancel()
	return l.takeRuns()
}

// supersede takes the runs from the link for one of the term. The link ends once it has
// told its leader of a later one; its own leader may have opened another link instead.
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

// forgetTold forgets the runs whose ends were reported some time ago.
func (l *serverLink) expireCompleted() {
	oldest := clock.Now().Add(-completedRetention)
	l.completed = slices.DeleteFunc(l.completed, func(run completedRun) bool { return run.reportedAt.Before(oldest) })
}

// serve carries the link on until its connection ends or the leader is silent for too
// long.
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

// interrupt ends reads and writes that wait.
func (l *serverLink) interrupt() {
	now := time.Now()
	// Where a connection has no deadlines, its end is waited for.
	_ = l.controller.SetReadDeadline(now)
	_ = l.controller.SetWriteDeadline(now)
}

// takeCommands carries out the leader's messages.
func (l *serverLink) receiveCommands(reader *bufio.Reader) {
	watchdog := time.AfterFunc(leaderTimeout, l.cancel)
	defer watchdog.Stop()
	for {
		var message commands
		if readMessage(reader, &message) != nil || l.context.Err() != nil {
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

// begin starts a run, or reports it as interrupted where it was asked for too long ago.
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

// isRecent tells whether the report was sent, or the link opened, a short time ago.
func (l *serverLink) isRecentReport(number uint64) bool {
	oldest := clock.Now().Add(-maxReportAge)
	for len(l.reportedAt) > 1 && l.reportedAt[0].Before(oldest) {
		l.reportedAt = l.reportedAt[1:]
		l.firstReportNumber++
	}
	position := int(number) - int(l.firstReportNumber)
	return position >= 0 && position < len(l.reportedAt) && l.reportedAt[position].After(oldest)
}

// cancelRun ends a run. What had come of it is told with its end.
func (l *serverLink) cancelRun(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if run := l.runs[number]; run != nil {
		run.cancel()
	}
}

// sendReports writes reports until the link ends: the ends of runs soon, events that
// have gathered each reportInterval, and one now and then if there is nothing new.
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

// awaitReport waits until the next report is due, and tells whether the link goes on.
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
			// What is new is told with the next report; further news change nothing.
			changed = nil
			timer.Reset(time.Until(sentAt.Add(reportInterval)))
		case <-l.ended:
			sleep(l.context, endDelay)
			return true
		}
	}
}

// collect returns the next report, after which the runs whose ends it tells are kept for
// a short time only. The first one brings back the runs of earlier links.
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

// wake makes the channel ready once.
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
