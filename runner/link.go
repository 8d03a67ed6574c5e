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
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// minBackoff and maxBackoff bound the delay between attempts to open a link.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// cancelTimeout bounds the wait for the final report of a cancelled run. It is several round trips
	// plus the runner's endDelay.
	cancelTimeout = 100 * time.Millisecond
)

var errRefused = errorx.NewNamespace("runner").NewType("link_refused")

// Link is the leader's side of a link: one HTTP request whose body carries commands and whose response
// carries reports. Either side closes a link on which the other has been silent for too long. It
// reconnects until its context ends.
type Link struct {
	pool    *Pool
	address string
	// store is guarded by the pool's mutex.
	store   Store
	name    string
	context context.Context
	cancel  context.CancelFunc
	isOpen  atomic.Bool
	// changed signals that there are commands to send.
	changed chan struct{}

	mutex   sync.Mutex
	runs    map[uint64]*linkRun
	nextRun uint64
	pending commands
}

// linkRun is a run that the leader has started or accepted on the link.
type linkRun struct {
	onBatch func(Batch)
	ended   chan scheduler.RunEnd
}

// OrphanedRun is a run that was started over an earlier link and is offered by a new one.
type OrphanedRun struct {
	// Step, Sample and Engine are IDs.
	Step, Sample, Engine string
	// Text is the sample's text so far.
	Text   scheduler.Text
	link   *Link
	number uint64
	run    *linkRun
}

// Accept keeps the run and sets the function that receives the events after Text. It must be called
// before the pool's adopt function returns.
func (o *OrphanedRun) Accept(onBatch func(Batch)) { o.run.onBatch = onBatch }

// Wait waits for the end of an accepted run. It cancels the run if the context ends.
func (o *OrphanedRun) Wait(ctx context.Context) scheduler.RunEnd {
	return o.link.wait(ctx, o.number, o.run)
}

// Name returns the name of the store that reads the stream.
func (o *OrphanedRun) Name() string { return o.link.name }

func newLink(pool *Pool, store Store) *Link {
	ctx, cancel := context.WithCancel(pool.context)
	link := &Link{
		pool: pool, address: store.Address, store: store, name: store.Name, context: ctx, cancel: cancel,
		changed: make(chan struct{}, 1), runs: map[uint64]*linkRun{},
	}
	go link.keepOpen()
	return link
}

// Name returns the name of the runner's store, or "" for a nil link.
func (l *Link) Name() string {
	if l == nil {
		return ""
	}
	return l.name
}

// Run starts a run, passes its events to onBatch in order and returns how it ended. The result is
// Interrupted if the link is nil, closed or ends before the run.
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

// wait waits for the end of a run and cancels it when the context ends.
func (l *Link) wait(ctx context.Context, number uint64, run *linkRun) scheduler.RunEnd {
	select {
	case end := <-run.ended:
		return end
	case <-ctx.Done():
		return l.cancelAndWait(number, run)
	}
}

// cancelAndWait cancels a run and waits up to cancelTimeout for its last events, so that they need not
// be generated again. A run that completes meanwhile counts as complete. If the leadership or the link
// has ended, the run is not cancelled, since it is offered on the next link.
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

// queueStart queues the start of a run. It returns false if the link is not open.
func (l *Link) queueStart(run *linkRun, request Request) (number uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isOpen.Load() {
		return 0, false
	}
	l.nextRun++
	l.runs[l.nextRun] = run
	sample := *request.Sample
	// The leader makes the reward call itself.
	sample.Reward = nil
	l.pending.Starts = append(l.pending.Starts, start{
		Run: l.nextRun, Backend: request.Backend, Step: request.Step, Host: request.Host, Tenant: request.Tenant, Sample: &sample,
		Text: Batch{First: 1, Events: request.Text.Events, Versions: request.Text.Versions}, decidedAt: request.DecidedAt,
		Known: request.KnownCrashes, KindKnown: request.KnownKindCrashes,
	})
	wake(l.changed)
	return l.nextRun, true
}

// cancelRun queues the cancellation of a run.
func (l *Link) cancelRun(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[number] != nil {
		l.pending.Cancels = append(l.pending.Cancels, number)
		wake(l.changed)
	}
}

// forget drops all further updates of a run.
func (l *Link) forget(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.runs, number)
}

// keepOpen connects with exponential backoff until the context ends. Of attempts that fail in the same way, the first
// is logged.
func (l *Link) keepOpen() {
	backoff := minBackoff
	lastError := ""
	for l.context.Err() == nil {
		opened, err := l.connectAndServe()
		if !opened && l.context.Err() == nil && err.Error() != lastError {
			lastError = err.Error()
			event.RunnerLinkFailed.On(l.pool.logger).Str("runner", l.name).Err(err).Send()
		}
		if opened {
			backoff, lastError = minBackoff, ""
			event.RunnerDisconnected.On(l.pool.logger).Str("runner", l.name).Uint("runs", uint64(l.interruptRuns())).Err(err).Send()
		}
		sleep(l.context, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// connectAndServe opens the link and serves it until it ends.
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
		return false, errRefused.New("runner responded with status %d", response.StatusCode)
	}
	reader := bufio.NewReader(response.Body)
	var firstReport report
	if err := readMessage(intake.Unlimited(), reader, &firstReport); err != nil {
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

// activate offers the orphaned runs of the first report to the leader, cancels the invalid ones and those that it
// does not accept and opens the link for new runs. It returns the number of accepted runs.
func (l *Link) activate(firstReport report) (accepted int) {
	orphans := make([]*OrphanedRun, 0, len(firstReport.Held))
	var invalid []uint64
	for _, orphan := range firstReport.Held {
		if !orphan.Text.isValid() {
			invalid = append(invalid, orphan.Run)
			continue
		}
		text := scheduler.Text{Events: orphan.Text.Events, Last: uint64(len(orphan.Text.Events)), Versions: orphan.Text.Versions}
		run := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
		orphans = append(orphans, &OrphanedRun{Step: orphan.Step, Sample: orphan.Sample, Engine: orphan.Engine, Text: text, link: l, number: orphan.Run, run: run})
	}
	// The runs are registered before they are accepted, so that the end of the link interrupts them.
	l.mutex.Lock()
	l.pending = commands{Cancels: invalid}
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

// interruptRuns closes the link, reports its runs as interrupted and returns their number.
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

// sendCommands writes pending commands, or an empty message each keepaliveInterval.
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

// takePending returns the commands to send. It interrupts the runs whose start has been pending for
// longer than maxPendingTime, since the decision may be out of date.
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

// receiveReports processes reports until the link ends.
func (l *Link) receiveReports(reader *bufio.Reader, watchdog *time.Timer, lastReport *atomic.Uint64) error {
	for {
		var message report
		if err := readMessage(intake.Unlimited(), reader, &message); err != nil {
			return err
		}
		watchdog.Reset(runnerTimeout)
		lastReport.Store(message.Number)
		if message.Superseded {
			l.pool.superseded.Store(true)
			return errRefused.New("link superseded by a later leader")
		}
		for _, update := range message.Runs {
			l.deliverUpdate(update)
		}
	}
}

// deliverUpdate passes on the events and the end of a run, unless the run was forgotten. A run with invalid events is
// broken after the events before them.
func (l *Link) deliverUpdate(update runReport) {
	if !update.Batch.isValid() {
		l.cancelRun(update.Run)
		update = runReport{Run: update.Run, End: scheduler.Broken}
	}
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
