package runner

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// invalidEvents are events that no engine may report: results name their versions and are JSON texts.
var invalidEvents = map[string]Event{
	"text that is not UTF-8": {ID: 2, Data: "a\xffb", Version: 1},
	"no version":             {ID: 2, Data: "b"},
	"no ID":                  {Data: "b", Version: 1},
}

// TestInvalidEventEndsOnlyItsRun guards against a runner that is lost for good: one event that was not UTF-8 made its
// reports unreadable, and each new link began with the same event.
func TestInvalidEventEndsOnlyItsRun(t *testing.T) {
	for name, invalid := range invalidEvents {
		t.Run(name, func(t *testing.T) {
			sound := make(chan struct{})
			deployment := newTestDeployment(t, func(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd {
				onEvent(Event{ID: 1, Data: "a", Version: 1})
				if request.Sample.ID == "sound" {
					<-sound
					onEvent(Event{ID: 2, Data: "b", Version: 1})
					return scheduler.Complete
				}
				onEvent(invalid)
				<-ctx.Done()
				return scheduler.Broken
			})
			link := deployment.pool.LinkFor(directory.Backend{ID: "e"})
			soundEnd, soundEvents := make(chan scheduler.RunEnd, 1), []string{}
			go func() {
				request := Request{Step: "step", Sample: &ledger.Sample{ID: "sound"}, DecidedAt: time.Now()}
				soundEnd <- link.Run(context.Background(), request, func(batch Batch) { soundEvents = append(soundEvents, batch.Events...) })
			}()
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			events, versions, end := deployment.run(ctx, newText(0, 0))
			require.Equal(t, scheduler.Broken, end)
			require.Equal(t, []string{"a"}, events, "the text before the invalid event is kept")
			require.Equal(t, []uint64{1}, versions)
			close(sound)
			require.Equal(t, scheduler.Complete, <-soundEnd, "another run on the same link is not affected")
			require.Equal(t, []string{"a", "b"}, soundEvents)
		})
	}
}

// earlierRunner is a runner of an earlier build: it reports what its engines send unchecked. It holds an orphaned run
// with an invalid text, ends each run that it starts with an invalid event, and keeps its link open.
type earlierRunner struct {
	cancelled chan uint64
}

func (e *earlierRunner) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(response)
	if err := controller.EnableFullDuplex(); err != nil {
		return
	}
	send := func(message report) {
		// A failed write ends the link, which the test notices.
		_ = writeMessage(response, message)
		_ = controller.Flush()
	}
	orphan := orphanReport{Run: firstOrphanNumber, Step: "step", Sample: "orphan", Text: Batch{First: 1, Events: []string{"\xff"}, Versions: []uint64{1}}}
	send(report{Number: 1, Held: []orphanReport{orphan}})
	reader := bufio.NewReader(request.Body)
	for number := uint64(2); ; number++ {
		var message commands
		if readMessage(intake.Unlimited(), reader, &message) != nil {
			return
		}
		for _, cancelled := range message.Cancels {
			e.cancelled <- cancelled
		}
		next := report{Number: number}
		for _, start := range message.Starts {
			next.Runs = append(next.Runs, runReport{Run: start.Run, Batch: Batch{First: 1, Events: []string{start.Sample.Path}, Versions: []uint64{1}}, End: scheduler.Complete})
		}
		send(next)
	}
}

// TestInvalidReportOfAnEarlierRunnerEndsOnlyItsRun guards against a leader that loses each runner of an earlier build
// which reports a text that is not valid UTF-8.
func TestInvalidReportOfAnEarlierRunnerEndsOnlyItsRun(t *testing.T) {
	logger := zerolog.Nop()
	earlier := &earlierRunner{cancelled: make(chan uint64, 10)}
	served := httptest.NewServer(earlier)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		served.CloseClientConnections()
		served.Close()
	})
	var offered []*OrphanedRun
	pool := NewPool(ctx, 1, func(orphans []*OrphanedRun) { offered = append(offered, orphans...) }, &logger)
	pool.SetStores([]Store{{Name: "store", Address: served.Listener.Addr().String()}})
	require.Eventually(t, func() bool { return pool.OpenLinks() == 1 }, waitTimeout, pollInterval)
	require.Empty(t, offered)
	require.Equal(t, uint64(firstOrphanNumber), <-earlier.cancelled)
	link := pool.LinkFor(directory.Backend{ID: "e"})
	// The earlier runner reports the sample's path as the data of its first event.
	run := func(data string) scheduler.RunEnd {
		request := Request{Step: "step", Sample: &ledger.Sample{ID: "s", Path: data}, DecidedAt: time.Now()}
		return link.Run(ctx, request, func(batch Batch) { require.Equal(t, []string{"valid"}, batch.Events) })
	}
	require.Equal(t, scheduler.Broken, run("a\xff"))
	require.Equal(t, scheduler.Complete, run("valid"), "the link is still open")
}
