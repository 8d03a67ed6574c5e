package quarantine

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// localLife is how long a process goes by a crash that it has told of alone: the shared
	// record comes back to it within some hundredths of a second.
	localLife = 5 * time.Second
	// mostNews bounds what waits to be told. Beyond it a crash is not told: a process that
	// sees so many at once sees more than requests crash.
	mostNews = 1000
)

// Verdict is what a process knows of a request before it sends it.
type Verdict struct {
	Subject Subject
	// Fingerprint is what a trial is to be asked for: that of the kind if the kind is held back,
	// and otherwise that of the content.
	Fingerprint Fingerprint
	// Known is the number of crashes that are counted, 0 for a request without suspicion, and
	// KindKnown that of its kind.
	Known, KindKnown int
	// Held is set if the request must not be sent, and Offered if a trial of it may be asked for.
	Held, Offered bool
	// Doubted is set if different requests of its kind have crashed backends.
	Doubted bool
}

// IsSuspect tells whether the request may end the backend that it is sent to: it has ended one, or
// others of its kind have, and none was answered since.
func (v Verdict) IsSuspect() bool { return v.Known > 0 || v.Doubted }

// News is what a process has to tell.
type News struct {
	Crashes []Crash
	// Answered are suspects that a backend has answered.
	Answered []Fingerprint
}

// IsEmpty tells whether there is nothing to tell.
func (n News) IsEmpty() bool { return len(n.Crashes) == 0 && len(n.Answered) == 0 }

// localSuspect is a suspect as this process knows it before the shared record does.
type localSuspect struct {
	suspect Suspect
	// until is when the shared record goes alone; it is moved on while the crash is not told.
	until time.Time
}

// Sharing is how a process knows the shared record. Without functions there is none.
type Sharing struct {
	// Suspects returns the record as the process knows it. It must not be changed.
	Suspects func() map[Fingerprint]Suspect
	// TakeTrial asks for the trial of a request, and tells whether this process has got it.
	TakeTrial func(ctx context.Context, fingerprint Fingerprint) bool
}

// Guard judges what a process may send, by the shared record and by what the process has seen
// itself. It may be used concurrently.
type Guard struct {
	sharing Sharing
	now     func() time.Time
	// Told is signalled once there are news.
	Told chan struct{}

	mutex sync.Mutex
	local map[Fingerprint]localSuspect
	// permits are the trials that this process has taken and not used.
	permits map[Fingerprint]bool
	// ended holds the backends that this process has seen end, and until when it goes by that.
	ended map[string]time.Time
	news  News
}

// NewGuard returns a guard that goes by the shared record and the clock.
func NewGuard(sharing Sharing, now func() time.Time) *Guard {
	return &Guard{
		sharing: sharing, now: now, Told: make(chan struct{}, 1),
		local: map[Fingerprint]localSuspect{}, permits: map[Fingerprint]bool{}, ended: map[string]time.Time{},
	}
}

func (g *Guard) shared() map[Fingerprint]Suspect {
	if g.sharing.Suspects == nil {
		return nil
	}
	return g.sharing.Suspects()
}

// TakeTrial asks for the trial of a request, and tells whether this process has got it.
func (g *Guard) TakeTrial(ctx context.Context, fingerprint Fingerprint) bool {
	return g.sharing.TakeTrial != nil && g.sharing.TakeTrial(ctx, fingerprint)
}

// IsIdle tells whether there are no suspects at all, so that no request needs to be judged.
func (g *Guard) IsIdle() bool {
	if len(g.shared()) > 0 {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	maps.DeleteFunc(g.local, func(_ Fingerprint, local localSuspect) bool { return now.After(local.until) })
	return len(g.local) == 0
}

// JudgeContent judges a request by its content, which is looked at only if there are suspects.
func (g *Guard) JudgeContent(content Content) Verdict {
	if g.IsIdle() {
		return Verdict{}
	}
	return g.JudgeSubject(content.Subject())
}

// JudgeSubject judges a request by its content and its kind. One whose kind is held back waits
// for the kind's trial only.
func (g *Guard) JudgeSubject(subject Subject) Verdict {
	kind := g.Judge(subject.Kind)
	verdict := g.Judge(subject.Content)
	verdict.Subject, verdict.KindKnown, verdict.Doubted = subject, kind.Known, kind.Doubted
	if kind.Held && !g.isPermitted(subject.Content) {
		verdict.Held, verdict.Fingerprint, verdict.Offered = true, kind.Fingerprint, kind.Offered
	}
	return verdict
}

func (g *Guard) isPermitted(content Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.permits[content]
}

// Judge judges by the record of a content or of a kind alone.
func (g *Guard) Judge(fingerprint Fingerprint) Verdict {
	shared := g.shared()[fingerprint]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	own := g.own(fingerprint)
	return Verdict{
		Fingerprint: fingerprint, Known: max(shared.Crashes, own.Crashes), Offered: shared.Offered,
		Held:    (shared.IsHeld() || own.IsHeld()) && !g.permits[fingerprint],
		Doubted: shared.isDoubted() || own.isDoubted(),
	}
}

// own returns the suspect as this process has counted its crashes itself.
func (g *Guard) own(fingerprint Fingerprint) Suspect {
	local, ok := g.local[fingerprint]
	if ok && g.now().After(local.until) {
		delete(g.local, fingerprint)
		return Suspect{}
	}
	return local.suspect
}

// NoteEnd takes in that the backend has ended under the request, which was judged so before it
// was sent.
func (g *Guard) NoteEnd(subject Subject, backend string, verdict Verdict) {
	g.NoteCrash(subject.Content, backend, verdict.Known)
	g.note(Crash{Fingerprint: subject.Kind, Backend: backend, Known: verdict.KindKnown, Of: subject.Content})
}

// NoteServed takes in that a backend has answered the request, which ends any suspicion against
// it and its kind.
func (g *Guard) NoteServed(subject Subject) {
	g.NoteAnswer(subject.Content)
	g.NoteAnswer(subject.Kind)
}

// NoteCrash takes in that the backend has ended under the request, of which the process knew so
// many crashes as it sent it. It returns the number of crashes that this process counts now.
func (g *Guard) NoteCrash(fingerprint Fingerprint, backend string, known int) int {
	return g.note(Crash{Fingerprint: fingerprint, Backend: backend, Known: known})
}

func (g *Guard) note(crash Crash) int {
	crash.Exact = true
	fingerprint := crash.Fingerprint
	shared := g.shared()[fingerprint]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.noteBackend(crash.Backend)
	base := g.local[fingerprint].suspect
	if shared.Crashes > base.Crashes {
		base = shared
	}
	next, news := base.With(crash)
	if !news || len(g.news.Crashes) >= mostNews {
		return next.Crashes
	}
	g.local[fingerprint] = localSuspect{suspect: next, until: g.now().Add(localLife)}
	g.news.Crashes = append(g.news.Crashes, crash)
	g.wake()
	return next.Crashes
}

// noteBackend remembers that the backend has ended. The mutex must be held.
func (g *Guard) noteBackend(backend string) {
	now := g.now()
	maps.DeleteFunc(g.ended, func(_ string, until time.Time) bool { return now.After(until) })
	if len(g.ended) < mostNews {
		g.ended[backend] = now.Add(localLife)
	}
}

// SeenEnds returns the backends that this process has seen end under requests lately, nil for none.
func (g *Guard) SeenEnds() map[string]bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.ended) == 0 {
		return nil
	}
	now := g.now()
	seen := make(map[string]bool, len(g.ended))
	for backend, until := range g.ended {
		if !now.After(until) {
			seen[backend] = true
		}
	}
	return seen
}

// NoteAnswer takes in that a backend has answered the request, which ends any suspicion.
func (g *Guard) NoteAnswer(fingerprint Fingerprint) {
	if g.Judge(fingerprint).Known == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.local, fingerprint)
	if len(g.news.Answered) < mostNews {
		g.news.Answered = append(g.news.Answered, fingerprint)
	}
	g.wake()
}

// Permit lets the request be sent once although it is held back.
func (g *Guard) Permit(fingerprint Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.permits[fingerprint] = true
}

// UsePermit uses up a permit, and tells whether there was one.
func (g *Guard) UsePermit(fingerprint Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	permitted := g.permits[fingerprint]
	delete(g.permits, fingerprint)
	return permitted
}

// TakeNews returns what is to be told.
func (g *Guard) TakeNews() News {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	news := g.news
	g.news = News{}
	return news
}

// ReturnNews takes back news that could not be told. The process goes by them itself until
// they are.
func (g *Guard) ReturnNews(news News) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, crash := range news.Crashes {
		if local, ok := g.local[crash.Fingerprint]; ok {
			local.until = g.now().Add(localLife)
			g.local[crash.Fingerprint] = local
		}
	}
	g.news.Crashes = earliest(append(news.Crashes, g.news.Crashes...))
	g.news.Answered = earliest(append(news.Answered, g.news.Answered...))
	g.wake()
}

// earliest returns as many of the news as are kept.
func earliest[T any](news []T) []T { return news[:min(len(news), mostNews)] }

// wake says that there are news.
func (g *Guard) wake() {
	select {
	case g.Told <- struct{}{}:
	default:
	}
}
