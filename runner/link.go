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
	cancelWait = 100 * time.Millisecond
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
	up      atomic.Bool
	// changed tells that there are commands to send.
	changed chan struct{}

	mutex   sync.Mutex
	runs    map[uint64]*linkRun
	nextRun uint64
	pending commands
}

// linkRun is a run that the link's runner holds.
type linkRun struct {
	each  func(Batch)
	ended chan scheduler.RunEnd
}

// Held is a run that was begun over an earlier link, as a new link brings it back.
type Held struct {
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
func (h *Held) Accept(each func(Batch)) { h.run.each = each }

// Wait waits for the end of a run that was accepted.
func (h *Held) Wait(ctx context.Context) scheduler.RunEnd { return h.link.wait(ctx, h.number, h.run) }

// Name is that of the store that holds the stream.
func (h *Held) Name() string { return h.link.name }

func newLink(pool *Pool, store Store) *Link {
	ctx, cancel := context.WithCancel(pool.context)
	opened := &Link{
		pool: pool, address: store.Address, store: store, name: store.Name, context: ctx, cancel: cancel,
		changed: make(chan struct{}, 1), runs: map[uint64]*linkRun{},
	}
	go opened.keepOpen()
	return opened
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
func (l *Link) Run(ctx context.Context, request Request, each func(Batch)) scheduler.RunEnd {
	if l == nil {
		return scheduler.Interrupted
	}
	run := &linkRun{each: each, ended: make(chan scheduler.RunEnd, 1)}
	number, ok := l.ask(run, request)
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
		return l.end(number, run)
	}
}

// end has the runner end a run, and waits for a moment for what it tells of it. A text
// that was whole by then is whole. Where the leadership or the link has ended, nothing is
// told to the runner: the run is the next link's.
func (l *Link) end(number uint64, run *linkRun) scheduler.RunEnd {
	defer l.forget(number)
	if l.context.Err() != nil || l.pool.context.Err() != nil {
		return scheduler.Broken
	}
	l.cancelRun(number)
	limit := time.NewTimer(cancelWait)
	defer limit.Stop()
	select {
	case end := <-run.ended:
		if end == scheduler.Complete {
			return end
		}
	case <-limit.C:
	}
	return scheduler.Broken
}

// ask queues the start of a run. It fails on a link that has ended.
func (l *Link) ask(run *linkRun, request Request) (number uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.up.Load() {
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
		Known: request.Known, KindKnown: request.KindKnown,
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
		opened, err := l.carry()
		if opened {
			backoff = minBackoff
			event.RunnerDisconnected.On(l.pool.logger).Str("runner", l.name).Uint("runs", uint64(l.interruptRuns())).Err(err).Send()
		}
		sleep(l.context, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// carry opens the link and carries it on until it ends.
func (l *Link) carry() (opened bool, err error) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	body, commandWriter := io.Pipe()
	defer body.Close()
	defer commandWriter.Close()
	silence := time.AfterFunc(runnerSilence, cancel)
	defer silence.Stop()
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
	var first report
	if err := readMessage(reader, &first); err != nil {
		return false, err
	}
	accepted := l.open(first)
	event.RunnerConnected.On(l.pool.logger).Str("runner", l.name).Int("ms", clock.Since(l.pool.begun).Milliseconds()).
		Uint("held", uint64(len(first.Held))).Uint("accepted", uint64(accepted)).Send()
	heard := atomic.Uint64{}
	heard.Store(first.Number)
	go func() {
		defer cancel()
		l.sendCommands(ctx, commandWriter, &heard)
	}()
	return true, l.takeReports(reader, silence, &heard)
}

// open has runs begin on the link, after those that it brings back. It returns how many
// of them were accepted; the runner ends the others.
func (l *Link) open(first report) (accepted int) {
	held := make([]*Held, 0, len(first.Held))
	for _, one := range first.Held {
		text := scheduler.Text{Events: one.Text.Events, Last: uint64(len(one.Text.Events)), Versions: one.Text.Versions}
		run := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
		held = append(held, &Held{Step: one.Step, Sample: one.Sample, Engine: one.Engine, Text: text, link: l, number: one.Run, run: run})
	}
	// They are known before they are accepted, so that an end of the link interrupts them.
	l.mutex.Lock()
	l.pending = commands{}
	for _, one := range held {
		l.runs[one.number] = one.run
	}
	l.mutex.Unlock()
	if len(held) > 0 {
		l.pool.adopt(held)
	}
	for _, one := range held {
		if one.run.each == nil {
			l.cancelRun(one.number)
			l.forget(one.number)
		} else {
			accepted++
		}
	}
	l.up.Store(true)
	return accepted
}

// interruptRuns ends the runs of a link that has ended, and returns their number.
func (l *Link) interruptRuns() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.up.Store(false)
	interrupted := len(l.runs)
	for _, run := range l.runs {
		run.ended <- scheduler.Interrupted
	}
	clear(l.runs)
	return interrupted
}

// sendCommands writes the commands that gather, and a message now and then if there
// are none.
func (l *Link) sendCommands(ctx context.Context, writer io.Writer, heard *atomic.Uint64) {
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
		message.Heard = heard.Load()
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
	pending.Starts = slices.DeleteFunc(pending.Starts, func(asked start) bool {
		late := clock.Since(asked.decidedAt) > pendingLimit
		if run := l.runs[asked.Run]; late && run != nil {
			delete(l.runs, asked.Run)
			run.ended <- scheduler.Interrupted
		}
		return late
	})
	return pending
}

// takeReports takes in reports until the link ends.
func (l *Link) takeReports(reader *bufio.Reader, silence *time.Timer, heard *atomic.Uint64) error {
	for {
		var message report
		if err := readMessage(reader, &message); err != nil {
			return err
		}
		silence.Reset(runnerSilence)
		heard.Store(message.Number)
		if message.Superseded {
			l.pool.superseded.Store(true)
			return errRefused.New("a later link has taken over")
		}
		for _, news := range message.Runs {
			l.takeNews(news)
		}
	}
}

// takeNews hands a run's news on, unless the run has been forgotten.
func (l *Link) takeNews(news runReport) {
	l.mutex.Lock()
	run := l.runs[news.Run]
	if news.End != 0 {
		delete(l.runs, news.Run)
	}
	l.mutex.Unlock()
	if run == nil {
		return
	}
	if len(news.Batch.Events) > 0 {
		run.each(news.Batch)
	}
	if news.End != 0 {
		run.ended <- news.End
	}
}
