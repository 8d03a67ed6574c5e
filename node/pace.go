package node

import "github.com/dillchute/dillchute/state"

// publication records when a model's newest version was seen.
type publication struct {
	version uint64
	seenAt  int64
	// lastInterval and previousInterval are the times between the last three
	// publications; 0 means unknown.
	lastInterval     int64
	previousInterval int64
}

// shortestInterval returns the shorter of the last two intervals, because trainers may
// publish in bursts.
func (p publication) shortestInterval() int64 {
	if p.previousInterval == 0 {
		return p.lastInterval
	}
	return min(p.lastInterval, p.previousInterval)
}

// recordPublications records when new versions were first seen.
func (c *Core) recordPublications() {
	for name, model := range c.catalog.Models {
		newest := model.Newest()
		last, ok := c.publications[name]
		switch {
		case !ok:
			c.publications[name] = publication{version: newest, seenAt: c.now}
		case newest > last.version:
			c.publications[name] = publication{version: newest, seenAt: c.now, lastInterval: c.now - last.seenAt, previousInterval: last.lastInterval}
		}
	}
}

// paceWeightPercent is the weight of the newest value in the moving average.
const paceWeightPercent = 20

// recordPace updates the engine's average time per token.
func (e *engine) recordPace(sinceLast int64, tokens int) {
	if tokens == 0 || sinceLast <= 0 {
		return
	}
	measured := float64(sinceLast) / float64(tokens)
	if e.tokenMillis == 0 {
		e.tokenMillis = measured
		return
	}
	e.tokenMillis += (measured - e.tokenMillis) * paceWeightPercent / 100
}

// maxSwapWaitMillis is the maximum time that samples wait for an engine's swap.
const maxSwapWaitMillis = 30_000

// canFinishInTime reports whether a sample started now on the engine is expected to
// finish before newer versions make it stale. It returns true for engines with the
// newest version, and after maxSwapWaitMillis, so that a slow swap does not block samples.
func (c *Core) canFinishInTime(request *request, target *engine, pool state.PoolSpec) bool {
	seen := c.publications[pool.Model]
	elapsed := c.now - seen.seenAt
	if target.version >= seen.version || elapsed > maxSwapWaitMillis {
		return true
	}
	allowedVersions := int64(target.version + pool.MaxStalenessVersions - seen.version)
	remainingMillis := (allowedVersions+1)*seen.shortestInterval() - elapsed
	neededMillis := float64(int(request.maxTokens)-len(request.tokens)) * target.tokenMillis
	return neededMillis <= float64(remainingMillis)
}
