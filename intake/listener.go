package intake

import (
	"net"
	"time"
)

// listener accepts connections within the limits of the process.
type listener struct {
	net.Listener
	intake      *Intake
	section     *section
	limits      func() Limits
	allowsHTTP2 bool
}

// Accept implements net.Listener. A connection that there is no place for is refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		added := &conn{
			Conn: accepted, intake: l.intake, listener: l, section: l.section,
			head: l.intake.Memory.NewReservation(freeHeadBytes), phaseStarted: time.Now(),
		}
		victim, admitted := l.intake.connections.admit(added)
		if victim != nil {
			l.intake.counters.evicted.Add(1)
			// The connection is given up, so a failed close loses nothing.
			_ = victim.Conn.Close()
		}
		if admitted {
			return added, nil
		}
		l.refuse(accepted)
	}
}

// refuse refuses a connection. If many refusals are still open, it is closed without an answer, which promises nothing.
func (l *listener) refuse(connection net.Conn) {
	l.intake.counters.refused[refusalBusy].Add(1)
	select {
	case l.intake.lingering <- struct{}{}:
	default:
		_ = connection.Close()
		return
	}
	go func() {
		defer func() { <-l.intake.lingering }()
		sendRefusal(connection, refusalBusy)
		_ = connection.Close()
	}()
}
