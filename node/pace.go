package node

import "github.com/dillchute/dillchute/state"

// publication is what the node has seen of a model's newest version.
type publication struct {
	version uint64
	seenAt  int64
	// last and earlier are the times between the last three publications; 0 is
	// unknown.
	last    int64
	earlier int64
}

// interval is the shorter of the last two times between publications: trainers
// that are ahead publish in bursts.
func (p publication) interval() int64 {
	if p.earlier == 0 {
		return p.last
	}
	return min(p.last, p.earlier)
}

// notePublications records when newer versions were seen.
func (c *Core) notePublications() {
	for name, model := range c.catalog.Models {
		newest := model.Newest()
		known, ok := c.publications[name]
		switch {
		case !ok:
			c.publications[name] = publication{version: newest, seenAt: c.now}
		case newest > known.version:
			c.publications[name] = publication{version: newest, seenAt: c.now, last: c.now - known.seenAt, earlier: known.last}
		}
	}
}

// paceWeight is the weight, in percent, of the newest measurement of a pace.
const paceWeight = 20

// notePace measures the time that the engine takes for a token of one stream.
func (e *engine) notePace(sinceLast int64, tokens int) {
	if tokens == 0 || sinceLast <= 0 {
		return
	}
	measured := float64(sinceLast) / float64(tokens)
	if e.tokenMillis == 0 {
		e.tokenMillis = measured
		return
	}
	e.tokenMillis += (measured - e.tokenMillis) * paceWeight / 100
}

// swapPatienceMillis is how long samples wait for an engine's newer weights.
const swapPatienceMillis = 30_000

// mayEndInTime tells whether a sample that starts now on the engine can be
// expected to end before the versions published meanwhile make it too old. Only
// engines that are about to get newer weights are judged. If a swap takes very
// long, an attempt that may come too late is better than none.
func (c *Core) mayEndInTime(request *request, target *engine, pool state.PoolSpec) bool {
	seen := c.publications[pool.Model]
	elapsed := c.now - seen.seenAt
	if target.version >= seen.version || elapsed > swapPatienceMillis {
		return true
	}
	allowed := int64(target.version + pool.MaxStalenessVersions - seen.version)
	left := (allowed+1)*seen.interval() - elapsed
	needed := float64(int(request.maxTokens)-len(request.tokens)) * target.tokenMillis
	return needed <= float64(left)
}
