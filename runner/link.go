package runner

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// minBackoff and maxBackoff are the times between two attempts to open a link.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// cancelWait is how long the end of a run is waited for that the leader has ended:
	// several times the way there and back and the runner's endDelay.
	cancelTimeout = 100 * time.Millisecond
)

var errRefused = errorx.NewNamespace("runner").NewType("link_refused")

// Link is a link as the leader sees it. It is opened again whenever it has ended.
type Link struct {
	pool    *Pool
	address string
	// store belongs to the pool's mutex.
	store   Store
	name    string
	context context.Context
	cancel  context.CancelFunc
	isOpen  atomic.Bool
	// changed tells that there are commands to send.
	changed chan struct{}

	mutex   sync.Mutex
	runs    map[uint64]*linkRun
	nextRun uint64
	pending commands
}

// linkRun is a run that the link's runner holds.
type linkRun struct {
	onBatch func(Batch)
	ended   chan scheduler.RunEnd
}

// Held is a run that was begun over an earlier link, as a new link brings it back.
type OrphanedRun struct {
	// Step, Sample and Engine are IDs.
	Step, Sample, Engine string
	// Text is the sample's text so far.
	Text   scheduler.Text
	link   *Link
	number uint64
	run    *linkRun
}

// Accept has what follows the text handed to the function. It must be called before the
// pool's function for runs that are brought back returns.
func (h *OrphanedRun) Accept(each func(Batch)) { h.run.onBatch = each }

// Wait waits for the end of a run that was accepted.
func (h *OrphanedRun) Wait(ctx context.Context) scheduler.RunEnd {
	return h.link.wait(ctx, h.number, h.run)
}

// Name is that of the store that holds the stream.
func (h *OrphanedRun) Name() string { return h.link.name }

func newLink(pool *Pool, store Store) *Link {
	ctx, cancel := context.WithCancel(pool.context)
	link := &Link{
		pool: pool, address: store.Address, store: store, name: store.Name, context: ctx, cancel: cancel,
		changed: make(chan struct{}, 1), runs: map[uint64]*linkRun{},
	}
	go link.keepOpen()
	return link
}

// Name is that of the store that holds the streams, "" for a nil link.
func (l *Link) Name() string {
	if l == nil {
		return ""
	}
	return l.name
}

// Run hands the run's text to the function, part by part and in order, until the run ends.
// It is Interrupted if the link ends, or is nil.
func (l *Link) Run(ctx context.Context, request Request, onBatch func(Batch)) scheduler.RunEnd {
	if l == nil {
		return scheduler.Interrupted
	}
	run := &linkRun{onBatch: onBatch, ended: make(chan scheduler.RunEnd, 1)}
	number, ok := l.queueStart(run, request)
	if !ok {
		return scheduler.Interrupted
	}
	return l.wait(ctx, number, run)
}

// wait waits for the end of a run, and ends it with the context. The runner tells what
// had come by then, so that it is not made again.
func (l *Link) wait(ctx context.Context, number uint64, run *linkRun) scheduler.RunEnd {
	select {
	case end := <-run.ended:
		return end
	case <-ctx.Done():
		return l.cancelAndWait(number, run)
	}
}

// end has the runner end a run, and waits for a moment for what it tells of it. A text
// that was whole by then is whole. Where the leadership or the link has ended, nothing is
// told to the runner: the run is the next link's.
func (l *Link) cancelAndWait(number uint64, run *linkRun) scheduler.RunEnd {
	defer l.forget(number)
	if l.context.Err() != nil || l.pool.context.Err() != nil {
		return scheduler.Broken
	}
	l.cancelRun(number)
	timeout := time.NewTimer(cancelTimeout)
	defer timeout.Stop()
	select {
	case end := <-run.ended:
		if end == scheduler.Complete {
			return end
		}
	case <-timeout.C:
	}
	return scheduler.Broken
}

// ask queues the start of a run. It fails on a link that has ended.
func (l *Link) queueStart(run *linkRun, request Request) (number uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isOpen.Load() {
		return 0, false
	}
	l.nextRun++
	l.runs[l.nextRun] = run
	sample := *request.Sample
	// The leader has samples scored itself.
	sample.Reward = nil
	l.pending.Starts = append(l.pending.Starts, start{
		Run: l.nextRun, Backend: request.Backend, Step: request.Step, Host: request.Host, Tenant: request.Tenant, Sample: &sample,
		Text: Batch{First: 1, Events: request.Text.Events, Versions: request.Text.Versions}, decidedAt: request.DecidedAt,
		Known: request.KnownCrashes, KindKnown: request.KnownKindCrashes,
	})
	wake(l.changed)
	return l.nextRun, true
}

// cancelRun asks the runner to end a run.
func (l *Link) cancelRun(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[number] != nil {
		l.pending.Cancels = append(l.pending.Cancels, number)
		wake(l.changed)
	}
}

// forget has no more news of a run handed on.
func (l *Link) forget(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.runs, number)
}

// keepOpen opens the link again and again.
func (l *Link) keepOpen() {
	backoff := minBackoff
	for l.context.Err() == nil {
		opened, err := l.connectAndServe()
		if opened {
			backoff = minBackoff
			event.RunnerDisconnected.On(l.pool.logger).Str("runner", l.name).Uint("runs", uint64(l.interruptRuns())).Err(err).Send()
		}
		sleep(l.context, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// carry opens the link and carries it on until it ends.
func (l *Link) connectAndServe() (opened bool, err error) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	body, commandWriter := io.Pipe()
	defer body.Close()
	defer commandWriter.Close()
	watchdog := time.AfterFunc(runnerTimeout, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+Path, body)
	if err != nil {
		return false, err
	}
	request.Header.Set(termHeader, strconv.FormatUint(l.pool.term, 10))
	response, err := l.pool.client.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		l.pool.superseded.Store(true)
	}
	if response.StatusCode != http.StatusOK {
		return false, errRefused.New("status %d", response.StatusCode)
	}
	reader := bufio.NewReader(response.Body)
	var firstReport report
	if err := readMessage(reader, &firstReport); err != nil {
		return false, err
	}
	accepted := l.activate(firstReport)
	event.RunnerConnected.On(l.pool.logger).Str("runner", l.name).Int("ms", clock.Since(l.pool.createdAt).Milliseconds()).
		Uint("held", uint64(len(firstReport.Held))).Uint("accepted", uint64(accepted)).Send()
	lastReport := atomic.Uint64{}
	lastReport.Store(firstReport.Number)
	go func() {
		defer cancel()
		l.sendCommands(ctx, commandWriter, &lastReport)
	}()
	return true, l.receiveReports(reader, watchdog, &lastReport)
}

// open has runs begin on the link, after those that it brings back. It returns how many
// of them were accepted; the runner ends the others.
func (l *Link) activate(firstReport report) (accepted int) {
	orphans := make([]*OrphanedRun, 0, len(firstReport.Held))
	for _, orphan := range firstReport.Held {
		text := scheduler.Text{Events: orphan.Text.Events, Last: uint64(len(orphan.Text.Events)), Versions: orphan.Text.Versions}
		run := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
		orphans = append(orphans, &OrphanedRun{Step: orphan.Step, Sample: orphan.Sample, Engine: orphan.Engine, Text: text, link: l, number: orphan.Run, run: run})
	}
	// They are known before they are accepted, so that an end of the link interrupts them.
	l.mutex.Lock()
	l.pending = commands{}
	for _, orphan := range orphans {
		l.runs[orphan.number] = orphan.run
	}
	l.mutex.Unlock()
	if len(orphans) > 0 {
		l.pool.adopt(orphans)
	}
	for _, orphan := range orphans {
		if orphan.run.onBatch == nil {
			l.cancelRun(orphan.number)
			l.forget(orphan.number)
		} else {
			accepted++
		}
	}
	l.isOpen.Store(true)
	return accepted
}

// interruptRuns ends the runs of a link that has ended, and returns their number.
func (l *Link) interruptRuns() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isOpen.Store(false)
	interrupted := len(l.runs)
	for _, run := range l.runs {
		run.ended <- scheduler.Interrupted
	}
	clear(l.runs)
	return interrupted
}

// sendCommands writes the commands that gather, and a message now and then if there
// are none.
func (l *Link) sendCommands(ctx context.Context, writer io.Writer, lastReport *atomic.Uint64) {
	buffered := bufio.NewWriter(writer)
	keepalive := time.NewTimer(0)
	defer keepalive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		case <-keepalive.C:
		}
		message := l.takePending()
		message.Heard = lastReport.Load()
		if writeMessage(buffered, message) != nil || buffered.Flush() != nil {
			return
		}
		keepalive.Reset(keepaliveInterval)
	}
}

// takePending returns what is to be sent. Starts that have waited for too long are not sent:
// their runs are interrupted, since what they were decided by may have passed.
func (l *Link) takePending() commands {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pending := l.pending
	l.pending = commands{}
	pending.Starts = slices.DeleteFunc(pending.Starts, func(request start) bool {
		isExpired := clock.Since(request.decidedAt) > maxPendingTime
		if run := l.runs[request.Run]; isExpired && run != nil {
			delete(l.runs, request.Run)
			run.ended <- scheduler.Interrupted
		}
		return isExpired
	})
	return pending
}

// takeReports takes in reports until the link ends.
func (l *Link) receiveReports(reader *bufio.Reader, watchdog *time.Timer, lastReport *atomic.Uint64) error {
	for {
		var message report
		if err := readMessage(reader, &message); err != nil {
			return err
		}
		watchdog.Reset(runnerTimeout)
		lastReport.Store(message.Number)
		if message.Superseded {
			l.pool.superseded.Store(true)
			return errRefused.New("a later link has taken over")
		}
		for _, update := range message.Runs {
			l.deliverUpdate(update)
		}
	}
}

// takeNews hands a run's news on, unless the run has been forgotten.
func (l *Link) deliverUpdate(update runReport) {
	l.mutex.Lock()
	run := l.runs[update.Run]
	if update.End != 0 {
		delete(l.runs, update.Run)
	}
	l.mutex.Unlock()
	if run == nil {
		return
	}
	if len(update.Batch.Events) > 0 {
		run.onBatch(update.Batch)
	}
	if update.End != 0 {
		run.ended <- update.End
	}
}
