package server

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/quarantine"
)

const (
	// crashGather is how long a crash waits for others before it is told: requests that ran on
	// one backend break within a millisecond or two.
	crashGather = 10 * time.Millisecond
	// crashRetry is the pause after news that could not be told, and crashTimeout bounds one
	// telling.
	crashRetry   = 100 * time.Millisecond
	crashTimeout = time.Second
)

// quarantineCall tells what a process has seen of requests that may crash backends, or asks
// for the trial of one.
type quarantineCall struct {
	Crashes   []quarantine.Crash       `cbor:"1,keyasint,omitempty"`
	Answered  []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	TakeTrial quarantine.Fingerprint   `cbor:"3,keyasint,omitempty"`
}

// newGuard returns a process's guard, which goes by the directory's record.
func newGuard(watcher *Watcher) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return watcher.Catalog().Suspects },
		TakeTrial: func(ctx context.Context, fingerprint quarantine.Fingerprint) bool {
			answer, err := watcher.call(ctx, directoryCall{Quarantine: &quarantineCall{TakeTrial: fingerprint}})
			if err != nil {
				event.QuarantineCallFailed.On(watcher.logger).Uint("crashes", 0).Err(err).Send()
				return false
			}
			return answer.Granted
		},
	}, clock.Now)
}

// tellCrashes tells the directory what the guard has seen until the context ends. What is not
// taken is told again.
func tellCrashes(ctx context.Context, guard *quarantine.Guard, watcher *Watcher) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-guard.ReportReady:
		}
		sleep(ctx, crashGather)
		if !tellNews(ctx, guard, watcher) {
			sleep(ctx, crashRetry)
		}
	}
}

// tellNews tells the directory what there is to tell, and whether it was taken. It is also what
// a process does last at a planned stop.
func tellNews(ctx context.Context, guard *quarantine.Guard, watcher *Watcher) bool {
	news := guard.TakeReport()
	if news.IsEmpty() {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	_, err := watcher.call(limited, directoryCall{Quarantine: &quarantineCall{Crashes: news.Crashes, Answered: news.Answered}})
	if err != nil {
		event.QuarantineCallFailed.On(watcher.logger).Uint("crashes", uint64(len(news.Crashes))).Err(err).Send()
		guard.RequeueReport(news)
	}
	return err == nil
}

// handleQuarantine carries out a call about suspects, on the directory's leader.
func (d *Directory) handleQuarantine(ctx context.Context, call *quarantineCall, answer *directoryAnswer) error {
	crashes := crashesKnown(call.Crashes, d.versions.inUse.Load())
	result, err := d.execute(ctx, directory.Command{Crashes: crashes, Answered: call.Answered, TakeTrial: call.TakeTrial})
	if err != nil {
		return err
	}
	answer.Granted = result.Granted
	for _, crash := range call.Crashes {
		d.logSuspect(crash)
	}
	if result.Granted {
		event.TrialStarted.On(d.logger).Str("content", string(call.TakeTrial)).Send()
	}
	return nil
}

// crashesKnown returns the crashes in the form that every member reads alike in the version in use.
func crashesKnown(crashes []quarantine.Crash, inUse uint64) []quarantine.Crash {
	if inUse >= directory.CrashReportVersion {
		return crashes
	}
	known := slices.Clone(crashes)
	for position := range known {
		known[position].Exact = false
	}
	return known
}

func (d *Directory) logSuspect(crash quarantine.Crash) {
	var suspect quarantine.Suspect
	d.replica.Do(func() { suspect, _, _ = d.machine.Suspect(crash.Fingerprint) })
	event.CrashReported.On(d.logger).Str("content", string(crash.Fingerprint)).Str("backend", crash.Backend).
		Uint("known", uint64(crash.Known)).Uint("crashes", uint64(suspect.Crashes)).Uint("ended", uint64(len(suspect.Ended))).
		Uint("held", boolToUint(suspect.IsQuarantined())).Send()
}

// suspectClock remembers since when this leader has known each suspect as it is. A new leader
// counts anew, so that a change of the leader or a pause of its clock makes waits longer and
// never shorter.
type suspectClock struct {
	since map[quarantine.Fingerprint]suspectSince
}

type suspectSince struct {
	revision uint64
	at       time.Time
	suspect  quarantine.Suspect
	// thirdAt is when the third end was seen, zero if this leader has not seen it come, and early
	// the number of ends right after it.
	thirdAt time.Time
	early   int
	// trying is how many trials were offered of which nothing has come: their ends are to come.
	trying int
}

// newSuspectSince returns what a leader knows of a suspect that it has not looked at before: a trial
// may be under way.
func newSuspectSince(suspect quarantine.Suspect) suspectSince {
	return suspectSince{trying: min(suspect.Trials, 1)}
}

// noteTrials takes in which trials were offered, and which have ended their backends.
func (s *suspectSince) noteTrials(before, suspect quarantine.Suspect) {
	offered := suspect.Trials - before.Trials
	ended := len(suspect.Ended) - len(before.Ended)
	s.trying = max(s.trying+offered-ended, 0)
}

// noteEnds takes in how many backends have ended under the suspect, which was known before.
func (s *suspectSince) noteEnds(now time.Time, before, suspect quarantine.Suspect) {
	_, had := before.CrashesAfterThreshold()
	ends, third := suspect.CrashesAfterThreshold()
	if third && !had {
		s.thirdAt = now
	}
	if !s.thirdAt.IsZero() && now.Sub(s.thirdAt) <= quarantine.CrashGracePeriod {
		s.early = ends
	}
}

// uncounted returns how many of the ends so far the bound does not count, less those that it will
// count once the trials under way have ended their backends.
func (s *suspectSince) uncounted() int { return s.early - s.trying }

// due returns the suspects that are to be tried or forgotten, and forgets those that are gone.
func (c *suspectClock) due(now time.Time, suspects map[quarantine.Fingerprint]suspectAt) (try, forget []directory.SuspectRevision) {
	known := make(map[quarantine.Fingerprint]suspectSince, len(suspects))
	for fingerprint, one := range suspects {
		since, ok := c.since[fingerprint]
		if ok {
			since.noteEnds(now, since.suspect, one.suspect)
			since.noteTrials(since.suspect, one.suspect)
		} else {
			since = newSuspectSince(one.suspect)
		}
		if !ok || since.revision != one.revision {
			since.revision, since.at = one.revision, now
		}
		since.suspect = one.suspect
		known[fingerprint] = since
		at := directory.SuspectRevision{Fingerprint: fingerprint, Revision: one.revision}
		switch age := now.Sub(since.at); {
		case !one.suspect.IsQuarantined() && age >= quarantine.ForgetAfter:
			forget = append(forget, at)
		case one.suspect.IsQuarantined() && !one.suspect.Offered && age >= one.suspect.TrialDelay(since.uncounted()):
			try = append(try, at)
		}
	}
	c.since = known
	return try, forget
}

// suspectAt is a suspect with the revision of its last change.
type suspectAt struct {
	suspect  quarantine.Suspect
	revision uint64
}

// reviewSuspects offers trials of requests that are held back and forgets suspects, on the
// leader.
func (d *Directory) reviewSuspects(ctx context.Context) {
	suspects := map[quarantine.Fingerprint]suspectAt{}
	d.replica.Do(func() {
		d.machine.Suspects(func(suspect quarantine.Suspect, revision uint64) {
			suspects[suspect.Fingerprint] = suspectAt{suspect: suspect, revision: revision}
		})
	})
	try, forget := d.suspects.due(clock.Now(), suspects)
	for _, one := range try {
		event.TrialOffered.On(d.logger).Str("content", string(one.Fingerprint)).Send()
		d.executeOrLog(ctx, directory.Command{OfferTrial: &one})
	}
	for _, one := range forget {
		d.executeOrLog(ctx, directory.Command{ForgetSuspect: &one})
	}
}

// executeOrLog carries out a command of the leader's review, which tries again what fails.
func (d *Directory) executeOrLog(ctx context.Context, command directory.Command) {
	if _, err := d.execute(ctx, command); err != nil {
		event.LeaderUpdateFailed.On(d.logger).Err(err).Send()
	}
}

// logHeldBack says that a request was refused because it crashes backends.
func logHeldBack(logger *zerolog.Logger, request string, content quarantine.Fingerprint) {
	event.RequestQuarantined.On(logger).Str("request", request).Str("content", string(content)).Send()
}
