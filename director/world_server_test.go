package director_test

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// server is a backend server that ends flows itself.
type server struct {
	born  uint64
	alive bool
	beats uint64
	// draining servers keep their flows.
	draining bool
	// open are flows whose handshake has ended here; half are others, by the
	// sequence number of the acceptance.
	open map[flow.Tuple]uint32
	half map[flow.Tuple]uint32
}

func (w *world) startServer(s *station) {
	w.lives++
	s.server = &server{
		born:  w.lives,
		alive: true,
		open:  map[flow.Tuple]uint32{},
		half:  map[flow.Tuple]uint32{},
	}
	w.later(w.between(10*time.Millisecond, 400*time.Millisecond), func() { w.beat(s, s.server) })
}

func (w *world) beat(s *station, v *server) {
	if s.server != v || !v.alive {
		return
	}
	v.beats++
	if !s.down {
		w.tell(s, holder.HeartbeatMsg{
			ID:          "server",
			Incarnation: v.born,
			Sequence:    v.beats,
			Draining:    v.draining,
			Slots:       5,
		})
	}
	w.later(1200*time.Millisecond, func() { w.beat(s, v) })
}

func (w *world) probe(s *station, health bool) {
	life := s.life
	w.later(time.Millisecond, func() {
		if s.life != life || s.down {
			return
		}
		r := holder.ProbeAlive
		switch {
		case !s.server.alive:
			r = holder.ProbeRefused
		case health && !s.server.draining:
			r = holder.ProbeReady
		}
		w.tell(s, holder.ProbeMsg{
			Result: r,
		})
	})
}

// arrive is a packet at a backend server.
func (w *world) arrive(s *station, p segment.Segment) {
	v := s.server
	w.note(p.Tuple, "packet %b reaches the server of %s (alive %v)", p.Flags, s.name, v.alive)
	if !v.alive {
		return
	}
	c := w.callers[p.Tuple]
	w.watch(c, s)
	switch {
	case p.Initial():
		first, ok := v.half[p.Tuple]
		if !ok {
			first = w.rand.Uint32()
			v.half[p.Tuple] = first
		}
		w.fromServer(s, segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Syn | segment.Ack,
			Sequence: first,
			Ack:      p.Sequence + 1,
		})
	case v.holds(p):
		if c != nil && c.server == nil && !c.ended {
			c.server = v
			c.station = s
		}
		w.fromServer(s, segment.Segment{
			Tuple:  p.Tuple,
			Flags:  segment.Ack,
			Length: 100,
		})
	default:
		p.Flags |= segment.Undeliverable
		w.fromServer(s, p)
	}
}

// holds reports whether a server holds the flow of a packet, and opens it with
// the first acknowledgement.
func (v *server) holds(p segment.Segment) bool {
	if _, ok := v.open[p.Tuple]; ok {
		return true
	}
	first, ok := v.half[p.Tuple]
	if !ok || p.Ack-first > 1<<16 || p.Ack == first {
		return false
	}
	delete(v.half, p.Tuple)
	v.open[p.Tuple] = first
	return true
}

// watch asserts that packets of a live flow do not go astray. As in the rules of
// the users, it leaves out instances that were killed within the last seconds.
func (w *world) watch(c *caller, s *station) {
	if c == nil || c.server == nil || c.ended || !c.server.alive {
		return
	}
	if c.station.blind[c.server] {
		return
	}
	if c.server == s.server {
		c.away = nil
		return
	}
	if w.disturbed(s) || w.disturbed(c.station) {
		return
	}
	c.away = append(c.away, w.now)
	for len(c.away) > 0 && w.now.Sub(c.away[0]) > misroute {
		c.away = c.away[1:]
	}
	require.Less(w.t, len(c.away), 3, "packets of a live flow reach other servers: %s\n%s", c.tuple, strings.Join(w.log[c.tuple], "\n"))
}

// disturbance is how long an instance counts as disturbed after a fault.
const disturbance = 4 * time.Second

func (w *world) disturbed(s *station) bool {
	return s.down || w.now.Sub(s.started) < disturbance
}

func (w *world) fromServer(s *station, p segment.Segment) {
	w.later(100*time.Microsecond, func() {
		if s.down {
			return
		}
		w.tell(s, holder.OutboundMsg{
			Segment: p,
			Data:    encodePacket(p),
		})
	})
}

// answer is a packet of a backend server at its caller.
func (w *world) answer(p segment.Segment) {
	c := w.callers[p.Tuple]
	if c == nil || c.ended {
		return
	}
	switch {
	case p.SynAck():
		if c.ack == 0 {
			c.ack = p.Sequence + 1
			w.sendPacket(c)
		}
	case p.Length > 0:
		c.served++
	}
}

const packetSize = 23

func encodePacket(p segment.Segment) []byte {
	b := make([]byte, packetSize)
	b[0] = byte(p.Flags)
	binary.LittleEndian.PutUint32(b[1:], p.Tuple.Caller)
	binary.LittleEndian.PutUint32(b[5:], p.Tuple.Address)
	binary.LittleEndian.PutUint16(b[9:], p.Tuple.CallerPort)
	binary.LittleEndian.PutUint16(b[11:], p.Tuple.AddressPort)
	binary.LittleEndian.PutUint32(b[13:], p.Sequence)
	binary.LittleEndian.PutUint32(b[17:], p.Ack)
	binary.LittleEndian.PutUint16(b[21:], p.Length)
	return b
}

func decodePacket(b []byte) segment.Segment {
	return segment.Segment{
		Flags: segment.Flags(b[0]),
		Tuple: flow.Tuple{
			Caller:      binary.LittleEndian.Uint32(b[1:]),
			Address:     binary.LittleEndian.Uint32(b[5:]),
			CallerPort:  binary.LittleEndian.Uint16(b[9:]),
			AddressPort: binary.LittleEndian.Uint16(b[11:]),
		},
		Sequence: binary.LittleEndian.Uint32(b[13:]),
		Ack:      binary.LittleEndian.Uint32(b[17:]),
		Length:   binary.LittleEndian.Uint16(b[21:]),
	}
}
