package measure

import (
	"sync"
	"time"

	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/controlpb"
)

// agentHeartbeatInterval is the time between heartbeats of an agent.
const agentHeartbeatInterval = 300 * time.Millisecond

// heartbeats is a stand-in for the agents of many targets. It keeps one
// connection per agent to its balancer.
type heartbeats struct {
	dialers []*control.Dialer
	stop    chan struct{}
	wait    sync.WaitGroup
}

func newHeartbeats(l []*balancer.Runtime, perBalancer int) *heartbeats {
	h := &heartbeats{
		stop: make(chan struct{}),
	}
	n := 0
	for _, b := range l {
		for range perBalancer {
			h.add(n, perBalancer*len(l), b.ControlAddress())
			n++
		}
	}
	return h
}

func (h *heartbeats) add(i, total int, address string) {
	services := max(1, int(float64(total)/targetsPerService))
	m := member(i, services)
	d := control.NewDialer(control.Handler{
		Hello: func() *controlpb.Hello {
			return &controlpb.Hello{
				Name:    m.GetTarget(),
				Role:    "agent",
				Service: m.GetService(),
			}
		},
		Open: func(c *control.Conn) {
			h.wait.Add(1)
			go h.sendHeartbeats(c, m)
		},
		Message: func(*control.Conn, *controlpb.Envelope) {},
		Close:   func(*control.Conn) {},
	})
	d.SetAddresses([]string{address})
	h.dialers = append(h.dialers, d)
}

// sendHeartbeats announces one target and then sends short heartbeats.
func (h *heartbeats) sendHeartbeats(c *control.Conn, m *controlpb.Member) {
	defer h.wait.Done()
	ok := c.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{
			Announce: &controlpb.Announce{
				Member: m,
				// These versions are higher than any, so that the balancer
				// sends no updates.
				IntentRevision: 1 << 62,
				RosterVersion:  1 << 62,
				Vitals:         &controlpb.Vitals{},
			},
		},
	})
	t := time.NewTicker(agentHeartbeatInterval)
	defer t.Stop()
	for ok {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		ok = c.Send(&controlpb.Envelope{
			Body: &controlpb.Envelope_Pulse{
				Pulse: &controlpb.Pulse{
					Active: 700,
					Limit:  2000,
				},
			},
		})
	}
}

func (h *heartbeats) close() {
	close(h.stop)
	for _, d := range h.dialers {
		d.Close()
	}
	h.wait.Wait()
}
