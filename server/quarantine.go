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
	// crashReportDelay is how long a crash waits to be reported together with others: requests on
	// one backend fail within a millisecond or two of its crash.
	crashReportDelay = 10 * time.Millisecond
	// crashReportRetryDelay is the delay after a report that failed, and crashReportTimeout limits
	// one report.
	crashReportRetryDelay = 100 * time.Millisecond
	crashReportTimeout    = time.Second
)

// quarantineCall reports a process's observations of suspects, or requests a trial of one.
type quarantineCall struct {
	Crashes   []quarantine.Crash       `cbor:"1,keyasint,omitempty"`
	Answered  []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	TakeTrial quarantine.Fingerprint   `cbor:"3,keyasint,omitempty"`
}

// newGuard returns a process's guard, which uses the directory's record of suspects.
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

// reportCrashes reports the guard's observations to the directory until the context ends. Reports that
// fail are repeated.
func reportCrashes(ctx context.Context, guard *quarantine.Guard, watcher *Watcher) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-guard.ReportReady:
		}
		sleep(ctx, crashReportDelay)
		if !sendCrashReport(ctx, guard, watcher) {
			sleep(ctx, crashReportRetryDelay)
		}
	}
}

// sendCrashReport sends the pending observations to the directory, and reports whether that succeeded. A
// graceful shutdown calls it for the final report.
func sendCrashReport(ctx context.Context, guard *quarantine.Guard, watcher *Watcher) bool {
	report := guard.TakeReport()
	if report.IsEmpty() {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	_, err := watcher.call(limited, directoryCall{Quarantine: &quarantineCall{Crashes: report.Crashes, Answered: report.Answered}})
	if err != nil {
		event.QuarantineCallFailed.On(watcher.logger).Uint("crashes", uint64(len(report.Crashes))).Err(err).Send()
		guard.RequeueReport(report)
	}
	return err == nil
}

// handleQuarantine executes a call about suspects on the directory's leader.
func (d *Directory) handleQuarantine(ctx context.Context, call *quarantineCall, answer *directoryAnswer) error {
	crashes := crashesForVersion(call.Crashes, d.versions.inUse.Load())
	result, err := d.execute(ctx, directory.Command{Crashes: crashes, Answered: call.Answered, TakeTrial: call.TakeTrial})
	if err != nil {
		return err
	}
	answer.Granted = result.Granted
	for _, crash := range call.Crashes {
		d.logCrash(crash)
	}
	if result.Granted {
		event.TrialStarted.On(d.logger).Str("content", string(call.TakeTrial)).Send()
	}
	return nil
}

// crashesForVersion returns the crashes without the fields that members of the version do not know.
func crashesForVersion(crashes []quarantine.Crash, version uint64) []quarantine.Crash {
	if version >= directory.CrashReportVersion {
		return crashes
	}
	converted := slices.Clone(crashes)
	for position := range converted {
		converted[position].Exact = false
	}
	return converted
}

func (d *Directory) logCrash(crash quarantine.Crash) {
	var suspect quarantine.Suspect
	d.replica.Do(func() { suspect, _, _ = d.machine.Suspect(crash.Fingerprint) })
	event.CrashReported.On(d.logger).Str("content", string(crash.Fingerprint)).Str("backend", crash.Backend).
		Uint("known", uint64(crash.Known)).Uint("crashes", uint64(suspect.Crashes)).Uint("ended", uint64(len(suspect.Ended))).
		Uint("held", boolToUint(suspect.IsQuarantined())).Send()
}

// suspectTracker stores how long this leader has known each suspect in its current state. A new leader
// starts at zero, so a leader change or a stopped clock can only lengthen delays.
type suspectTracker struct {
	suspects map[quarantine.Fingerprint]trackedSuspect
}

type trackedSuspect struct {
	revision  uint64
	changedAt time.Time
	suspect   quarantine.Suspect
	// thresholdAt is when this leader observed that the suspect reached CrashThreshold, or zero. graceCrashes
	// is the number of later crashes within CrashGracePeriod.
	thresholdAt  time.Time
	graceCrashes int
	// pendingTrials counts the offered trials whose crash has not been reported.
	pendingTrials int
}

// newTrackedSuspect returns the state of a suspect that is new to this leader. If it had trials, one
// may still be running.
func newTrackedSuspect(suspect quarantine.Suspect) trackedSuspect {
	return trackedSuspect{pendingTrials: min(suspect.Trials, 1)}
}

// recordTrials updates pendingTrials with the trials offered and the backends crashed since the previous
// state.
func (s *trackedSuspect) recordTrials(previous, suspect quarantine.Suspect) {
	offered := suspect.Trials - previous.Trials
	crashed := len(suspect.Ended) - len(previous.Ended)
	s.pendingTrials = max(s.pendingTrials+offered-crashed, 0)
}

// recordCrashes updates thresholdAt and graceCrashes with the crashes since the previous state.
func (s *trackedSuspect) recordCrashes(now time.Time, previous, suspect quarantine.Suspect) {
	_, reachedBefore := previous.CrashesAfterThreshold()
	crashes, reached := suspect.CrashesAfterThreshold()
	if reached && !reachedBefore {
		s.thresholdAt = now
	}
	if !s.thresholdAt.IsZero() && now.Sub(s.thresholdAt) <= quarantine.CrashGracePeriod {
		s.graceCrashes = crashes
	}
}

// exemptCrashes returns the argument of TrialDelay: the crashes that the send budget does not count, minus
// those expected of pending trials.
func (s *trackedSuspect) exemptCrashes() int { return s.graceCrashes - s.pendingTrials }

// due returns the suspects for which a trial is due and those that are to be forgotten. It drops the state of
// removed suspects.
func (c *suspectTracker) due(now time.Time, suspects map[quarantine.Fingerprint]suspectVersion) (offer, forget []directory.SuspectRevision) {
	tracked := make(map[quarantine.Fingerprint]trackedSuspect, len(suspects))
	for fingerprint, current := range suspects {
		entry, ok := c.suspects[fingerprint]
		if ok {
			entry.recordCrashes(now, entry.suspect, current.suspect)
			entry.recordTrials(entry.suspect, current.suspect)
		} else {
			entry = newTrackedSuspect(current.suspect)
		}
		if !ok || entry.revision != current.revision {
			entry.revision, entry.changedAt = current.revision, now
		}
		entry.suspect = current.suspect
		tracked[fingerprint] = entry
		revision := directory.SuspectRevision{Fingerprint: fingerprint, Revision: current.revision}
		switch age := now.Sub(entry.changedAt); {
		case !current.suspect.IsQuarantined() && age >= quarantine.ForgetAfter:
			forget = append(forget, revision)
		case current.suspect.IsQuarantined() && !current.suspect.Offered && age >= current.suspect.TrialDelay(entry.exemptCrashes()):
			offer = append(offer, revision)
		}
	}
	c.suspects = tracked
	return offer, forget
}

// suspectVersion is a suspect and the revision of its last change.
type suspectVersion struct {
	suspect  quarantine.Suspect
	revision uint64
}

// reviewSuspects offers trials of quarantined requests and forgets old suspects, on the leader.
func (d *Directory) reviewSuspects(ctx context.Context) {
	suspects := map[quarantine.Fingerprint]suspectVersion{}
	d.replica.Do(func() {
		d.machine.Suspects(func(suspect quarantine.Suspect, revision uint64) {
			suspects[suspect.Fingerprint] = suspectVersion{suspect: suspect, revision: revision}
		})
	})
	offer, forget := d.suspects.due(clock.Now(), suspects)
	for _, suspect := range offer {
		event.TrialOffered.On(d.logger).Str("content", string(suspect.Fingerprint)).Send()
		d.executeOrLog(ctx, directory.Command{OfferTrial: &suspect})
	}
	for _, suspect := range forget {
		d.executeOrLog(ctx, directory.Command{ForgetSuspect: &suspect})
	}
}

// executeOrLog executes a command of the leader's review, which retries failed commands.
func (d *Directory) executeOrLog(ctx context.Context, command directory.Command) {
	if _, err := d.execute(ctx, command); err != nil {
		event.LeaderUpdateFailed.On(d.logger).Err(err).Send()
	}
}

// logQuarantined logs that a request was rejected because it is quarantined.
func logQuarantined(logger *zerolog.Logger, request string, content quarantine.Fingerprint) {
	event.RequestQuarantined.On(logger).Str("request", request).Str("content", string(content)).Send()
}
