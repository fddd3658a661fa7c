package director_test

import (
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// caller is one flow as its caller sees it.
type caller struct {
	tuple  flow.Tuple
	first  uint32
	ack    uint32
	server *server
	// station is the instance of the server.
	station *station
	ended   bool
	// away counts packets that reached other servers since the last one that
	// reached the flow's own.
	away   []time.Time
	served int
}

// reset asserts that only flows of servers that are gone are reset.
func (w *world) reset(t flow.Tuple, cause string) {
	c := w.callers[t]
	if c == nil || c.ended {
		return
	}
	if c.server != nil && c.server.alive && !c.station.blind[c.server] {
		require.Fail(w.t, "a live flow was reset", "%s: %s\n%s", t, cause, strings.Join(w.log[t], "\n"))
	}
	w.resets++
	if c.server == nil {
		w.refused++
	}
	c.ended = true
}

// open starts a flow: a first packet and its two copies.
func (w *world) open() *caller {
	w.ports++
	c := &caller{
		tuple: flow.Tuple{
			Caller:      0x64400000 + w.ports>>14,
			Address:     worldAddress.Host,
			CallerPort:  uint16(1024 + w.ports&0x3fff),
			AddressPort: worldAddress.Port,
		},
		first: w.rand.Uint32(),
	}
	w.callers[c.tuple] = c
	for _, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.later(d, func() {
			if c.ack == 0 && !c.ended {
				w.fabric(segment.Segment{
					Tuple:    c.tuple,
					Flags:    segment.Syn,
					Sequence: c.first,
				})
			}
		})
	}
	return c
}

func (w *world) sendPacket(c *caller) {
	w.fabric(segment.Segment{
		Tuple:    c.tuple,
		Flags:    segment.Ack,
		Sequence: c.first + 1,
		Ack:      c.ack,
		Length:   100,
	})
}

// route returns the balancer of a flow: a hash over those in rotation, so that
// nearly all flows move when the rotation changes.
func (w *world) route(t flow.Tuple) *gateway {
	var up []*gateway
	for _, g := range w.gateways {
		if !g.down {
			up = append(up, g)
		}
	}
	if len(up) == 0 {
		return w.gateways[0]
	}
	return up[t.Hash(w.rotation)%uint64(len(up))]
}

// fabric sends a caller's packet to a balancer.
func (w *world) fabric(p segment.Segment) {
	g := w.route(p.Tuple)
	w.later(w.between(3*time.Millisecond, 4*time.Millisecond), func() {
		w.direct(g, director.PacketMsg{
			Segment: p,
			Data:    encodePacket(p),
		})
	})
}
