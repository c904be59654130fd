package membership

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// leavingModel is a daemon's view of its backend server, the daemon's row in the store,
// and what the backend server was told. The backend server leaves and never comes back.
type leavingModel struct {
	local        *Local
	row          *Entry
	rowRead      bool // the current process has read the row
	acknowledged bool // the leaving was acknowledged
}

// Times of the model in Unix ms. The daemon process that hears of the leaving starts after
// the backend server.
const (
	modelStart   = 1000 // of the backend server
	modelProcess = 2000 // of the daemon
	modelLeaving = 3000 // at which reports are received
	modelNext    = 4000 // of the next life of the backend server
)

// leavingEvents are the events of the model. A process acknowledges a leaving after it
// has written its row.
var leavingEvents = map[string]func(*leavingModel){
	"late ready report": func(m *leavingModel) {
		m.hear(Heartbeat{ID: "i-1", StartMs: modelStart, Sequence: 1, State: Ready, Service: "s"})
	},
	"draining report": func(m *leavingModel) {
		m.hear(Heartbeat{ID: "i-1", StartMs: modelStart, Sequence: 2, State: Draining, Service: "s"})
	},
	"deregistration":                      func(m *leavingModel) { m.hear(Heartbeat{ID: "i-1", StartMs: modelStart, State: Gone}) },
	"deregistration without a start time": func(m *leavingModel) { m.hear(Heartbeat{ID: "i-1", State: Gone}) },
	"report of another writer": func(m *leavingModel) {
		m.hear(Heartbeat{ID: "i-9", Sequence: 99, State: Ready, Service: "s"})
	},
	"report of another writer with the same id": func(m *leavingModel) {
		m.hear(Heartbeat{ID: "i-1", Sequence: 99, State: Ready, Service: "s"})
	},
	"draining report of another writer": func(m *leavingModel) {
		m.hear(Heartbeat{ID: "i-9", Sequence: 99, State: Draining, Service: "s"})
	},
	"deregistration by another writer": func(m *leavingModel) { m.hear(Heartbeat{ID: "i-9", State: Gone}) },
	"health check":                     func(m *leavingModel) { m.local.HandleProbe("i-1", 8) },
	"restart": func(m *leavingModel) {
		m.local, m.rowRead = NewLocal("s"), false
	},
	"row read": func(m *leavingModel) {
		m.rowRead = true
		if m.row != nil {
			m.local.Restore(m.row)
		}
	},
}

func (m *leavingModel) hear(h Heartbeat) {
	h.Received = modelLeaving
	m.local.HandleHeartbeat(h)
	if !m.rowRead {
		return // no row is written before the one of the previous process is known
	}
	m.row = &Entry{Service: "s", Incarnation: modelProcess, Backend: m.local.ID(), Born: m.local.StartMs(), State: uint32(m.local.State())}
	if h.ID == "i-1" && h.State >= Draining && m.local.Reflects(h) {
		m.acknowledged = true
	}
}

// Failure: after the acknowledgement of a leaving some order of late reports, reports of
// other writers, health checks and restarts makes the daemon take the backend server, or
// one that another writer has made up, for ready. All orders of six events are played.
func TestNoOrderOfEventsUndoesAnAcknowledgedLeaving(t *testing.T) {
	const length = 6
	var names []string
	for name := range leavingEvents {
		names = append(names, name)
	}
	played, acknowledged := 0, 0
	var play func(order []string)
	play = func(order []string) {
		if len(order) < length {
			for _, name := range names {
				play(append(order[:len(order):len(order)], name))
			}
			return
		}
		m := &leavingModel{local: NewLocal("s"), rowRead: true}
		m.hear(Heartbeat{ID: "i-1", StartMs: modelStart, State: Ready, Service: "s"}) // before it leaves
		played++
		for i, name := range order {
			leavingEvents[name](m)
			if m.acknowledged && m.rowRead && m.local.State() == Ready {
				require.Fail(t, "reopened", "%s", strings.Join(order[:i+1], ", "))
			}
		}
		if m.acknowledged {
			acknowledged++
		}
	}
	play(nil)
	t.Log(fmt.Sprint(played, " orders, ", acknowledged, " with an acknowledgement"))
	require.Positive(t, acknowledged)
}

// Failure: a backend server that starts again under the id of one that left stays shut
// out, because the one that left had not given its start time.
func TestNextLifeUnderTheSameIDIsNotTakenForTheOneThatLeft(t *testing.T) {
	next := Heartbeat{ID: "i-1", StartMs: modelNext, Received: modelNext + 1, Sequence: 1, State: Ready, Service: "s"}
	l := NewLocal("s")
	l.HandleHeartbeat(Heartbeat{ID: "i-1", Received: modelLeaving, State: Gone})
	require.Equal(t, Gone, l.State())
	l.HandleHeartbeat(next)
	require.Equal(t, Ready, l.State())

	restarted := NewLocal("s")
	require.True(t, restarted.Restore(&Entry{Service: "s", Incarnation: modelProcess, Backend: "i-1", State: uint32(Gone)}))
	restarted.HandleHeartbeat(Heartbeat{ID: "i-1", StartMs: modelStart, Received: modelNext, Sequence: 9, State: Ready, Service: "s"})
	require.Equal(t, Gone, restarted.State(), "late")
	restarted.HandleHeartbeat(next)
	require.Equal(t, Ready, restarted.State())
}
