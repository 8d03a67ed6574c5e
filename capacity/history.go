package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// loadTime is how long a new backend loads weights before it runs its first sample.
	loadTime = 900 * time.Millisecond
	// baseWindow is the initial length of the demand window. It exceeds the time between two steps,
	// so that the pause between them is not mistaken for the end of the work.
	baseWindow = 9 * time.Second
	// maxWindow limits the window, which doubles each time demand oscillates.
	maxWindow = 2 * time.Minute
	// usageWindows is the number of base windows over which the slots in use are averaged. Over a
	// single one, the mean would vary by a third with the number of steps in it.
	usageWindows = 3
)

// requiredSlots returns the number of slots that complete the work by its due times. Work due within the
// lead time counts as due at its end, as backends ordered now cannot help earlier. If work is overdue while
// samples wait, the result is at least the number of running samples.
func requiredSlots(demand Demand, leadTimeMillis int64) float64 {
	sorted := slices.Clone(demand.Work)
	slices.SortFunc(sorted, func(a, b Work) int { return cmp.Compare(a.DueMillis, b.DueMillis) })
	slots, sum := 0.0, 0.0
	for _, work := range sorted {
		sum += work.SlotMillis
		slots = max(slots, sum/float64(max(work.DueMillis, leadTimeMillis, 1)))
	}
	if demand.Waiting > 0 && len(sorted) > 0 && sorted[0].DueMillis < 0 {
		slots = max(slots, float64(demand.Running))
	}
	return slots
}

// reading is the number of slots needed and in use at one time.
type reading struct {
	at            int64
	needed, inUse float64
}

// demandHistory estimates how many slots a service needs from recent readings.
type demandHistory struct {
	readings []reading
	// contiguousSince is the time of the first reading after the last gap. workSince is the time of the
	// first reading after it that shows work, or 0.
	contiguousSince, workSince int64
	// window is how long a reading counts.
	window time.Duration
}

// maxReadingGap is the longest time between two readings that does not restart the history.
const maxReadingGap = 3 * time.Second

// record adds a reading and drops those that have expired.
func (h *demandHistory) record(now int64, needed, inUse float64) {
	h.window = max(h.window, baseWindow)
	if count := len(h.readings); count == 0 || now-h.readings[count-1].at > maxReadingGap.Milliseconds() {
		h.contiguousSince, h.workSince = now, 0
	}
	if h.workSince == 0 && needed > 0 {
		h.workSince = now
	}
	h.readings = append(h.readings, reading{at: now, needed: needed, inUse: inUse})
	if h.workSince > 0 && now-h.workSince >= baseWindow.Milliseconds() {
		newest := &h.readings[len(h.readings)-1]
		newest.needed = max(needed, h.recurringUsage(now))
	}
	oldest := now - max(h.window, usageWindows*baseWindow).Milliseconds()
	h.readings = slices.DeleteFunc(h.readings, func(r reading) bool { return r.at < oldest })
}

// isFresh reports whether the newest reading is recent enough to use.
func (h *demandHistory) isFresh(now int64) bool {
	count := len(h.readings)
	return count > 0 && now-h.readings[count-1].at <= maxReadingGap.Milliseconds()
}

// isConclusive reports whether the history is long enough to scale down: a window with work in it, or
// the longest window without any.
func (h *demandHistory) isConclusive(now int64) bool {
	if h.workSince == 0 {
		return h.isFresh(now) && now-h.contiguousSince >= maxWindow.Milliseconds()
	}
	return h.isFresh(now) && now-h.workSince >= h.window.Milliseconds()
}

// slotsNeeded returns the number of slots needed once the lead time has passed: the peak of the window
// plus the recent growth, extrapolated over the lead time.
func (h *demandHistory) slotsNeeded(now, leadTimeMillis int64) float64 {
	halfBaseWindow := baseWindow.Milliseconds() / 2
	peak, recent, earlier := 0.0, 0.0, math.Inf(1)
	for _, reading := range h.readings {
		age := now - reading.at
		if age <= h.window.Milliseconds() {
			peak = max(peak, reading.needed)
		}
		switch {
		case age <= halfBaseWindow:
			recent = max(recent, reading.needed)
		case age <= 2*halfBaseWindow:
			if math.IsInf(earlier, 1) {
				earlier = 0
			}
			earlier = max(earlier, reading.needed)
		}
	}
	if earlier > 0 && !math.IsInf(earlier, 1) {
		peak += max(recent-earlier, 0) * min(float64(leadTimeMillis)/float64(halfBaseWindow), 1)
	}
	return peak
}

// slotsToKeep returns the number of slots below which the service is not scaled down: those needed, or
// the mean number in use if that is higher.
func (h *demandHistory) slotsToKeep(now, leadTimeMillis int64) float64 {
	return max(h.slotsNeeded(now, leadTimeMillis), h.meanUsage(now))
}

// recurringUsage returns the mean number of slots that recurring steps use, even if each step ends long
// before it is due. With a short history, the mean also covers half a base window for the next pause.
func (h *demandHistory) recurringUsage(now int64) float64 {
	mean := h.meanUsage(now)
	if elapsed := now - h.workSince; elapsed < (usageWindows * baseWindow).Milliseconds() {
		mean *= float64(elapsed) / float64(elapsed+baseWindow.Milliseconds()/2)
	}
	return mean
}

// meanUsage returns the mean number of slots in use since work began, over at most usageWindows base windows.
func (h *demandHistory) meanUsage(now int64) float64 {
	since := max(h.workSince, now-(usageWindows*baseWindow).Milliseconds())
	sum, count := 0.0, 0.0
	for _, reading := range h.readings {
		if reading.at >= since {
			sum, count = sum+reading.inUse, count+1
		}
	}
	return sum / max(count, 1)
}

// widenWindow doubles the window after demand oscillated, so that peaks count for longer.
func (h *demandHistory) widenWindow() { h.window = min(2*max(h.window, baseWindow), maxWindow) }
