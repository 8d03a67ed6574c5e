package intake

import (
	"container/list"
	"sync"
)

// connections are the open connections of all listeners of a process. Each listener has a guaranteed share of the limit and
// may use more while others use less. Near the limit, the connection that has waited longest for a whole request is closed.
type connections struct {
	limit int

	mutex    sync.Mutex
	count    int
	sections []*section
}

// section holds the connections of one listener.
type section struct {
	// weight sets the share of the limit that the listener is guaranteed.
	weight int
	count  int
	// waiting holds the connections without a whole head, and uploading those without a whole body, each in the order of
	// their last change. Nothing of their requests was passed on.
	waiting, uploading *list.List
}

func newConnections(limit int) *connections { return &connections{limit: limit} }

// addSection adds a listener with a weight.
func (c *connections) addSection(weight int) *section {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	added := &section{weight: weight, waiting: list.New(), uploading: list.New()}
	c.sections = append(c.sections, added)
	return added
}

// share returns the number of connections that the section is guaranteed.
func (c *connections) share(s *section) int {
	total := 0
	for _, other := range c.sections {
		total += other.weight
	}
	return max(c.limit*s.weight/total, 1)
}

// admit adds a connection, in place of the returned one if that is not nil, which the caller must close. It returns false
// if there is no place for it.
func (c *connections) admit(added *conn) (victim *conn, admitted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.count >= c.limit {
		victim = c.chooseVictim(added.section)
		if victim == nil {
			return nil, false
		}
		c.remove(victim)
	}
	c.count++
	added.section.count++
	c.place(added, phaseWaiting)
	return victim, true
}

// chooseVictim returns the connection to close for a new one of the section, or nil if there is none.
func (c *connections) chooseVictim(newcomer *section) *conn {
	if newcomer.count >= c.share(newcomer) {
		return newcomer.oldest()
	}
	var victim *conn
	largestExcess := 0
	for _, other := range c.sections {
		if excess := other.count - c.share(other); excess > largestExcess {
			if oldest := other.oldest(); oldest != nil {
				victim, largestExcess = oldest, excess
			}
		}
	}
	if victim == nil {
		return newcomer.oldest()
	}
	return victim
}

// oldest returns the connection of the section that has waited longest for a head, or else for a body, or nil.
func (s *section) oldest() *conn {
	for _, candidates := range []*list.List{s.waiting, s.uploading} {
		if first := candidates.Front(); first != nil {
			return first.Value.(*conn)
		}
	}
	return nil
}

// move records that the connection is in the phase. It returns false if the connection was removed.
func (c *connections) move(moved *conn, to phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if moved.removed {
		return false
	}
	moved.unlink()
	c.place(moved, to)
	return true
}

// place adds the connection to the list of the phase. Connections that are answered are in none.
func (c *connections) place(placed *conn, in phase) {
	switch in {
	case phaseWaiting, phaseHead:
		placed.list = placed.section.waiting
	case phaseBody:
		placed.list = placed.section.uploading
	default:
		placed.list = nil
		return
	}
	placed.element = placed.list.PushBack(placed)
}

// drop removes the connection. It may be called repeatedly.
func (c *connections) drop(dropped *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.remove(dropped)
}

func (c *connections) remove(removed *conn) {
	if removed.removed {
		return
	}
	removed.removed = true
	removed.unlink()
	c.count--
	removed.section.count--
}

// open returns the number of open connections.
func (c *connections) open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.count
}
