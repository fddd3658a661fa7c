package agent

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

var testAddress = netip.MustParseAddrPort("10.80.0.1:7000")

const (
	testService = 1
	testLimit   = 200
)

// testLink is one direction between two agents; control messages keep their
// order.
type testLink struct {
	from, to target.ID
}

// testFlow is a flow as its caller sees it.
type testFlow struct {
	key    flow.Key
	holder target.ID
	live   bool
	ended  bool
}

// testEvent is a message of the TCP stack that its target has yet to handle.
type testEvent struct {
	at  target.ID
	msg Msg
}

// testPacket is a packet in flight.
type testPacket struct {
	to  target.ID
	msg PacketMsg
}

// network is a set of models connected by queues that a test empties in any
// order. It asserts that no live flow is reset, and that no packet of one is
// delivered to a second target that holds the flow.
type network struct {
	t             testing.TB
	rand          *rand.Rand
	now           time.Time
	version       uint64
	incarnations  uint64
	models        map[target.ID]*Model
	ids           []target.ID
	targets       map[target.ID]service.Target
	tables        []*service.Table
	control       map[testLink][]Msg
	packets       []testPacket
	flows         map[flow.Key]*testFlow
	nextKey       uint32
	resets        int
	refused       int
	deliveryCount map[target.ID]int
	pendingEvents []testEvent
	mix           mix
}

func newNetwork(t testing.TB, seed uint64, ids ...target.ID) *network {
	n := &network{
		t:             t,
		rand:          rand.New(rand.NewPCG(seed, 9)),
		now:           time.Unix(1_800_000_000, 0),
		models:        map[target.ID]*Model{},
		targets:       map[target.ID]service.Target{},
		control:       map[testLink][]Msg{},
		flows:         map[flow.Key]*testFlow{},
		deliveryCount: map[target.ID]int{},
	}
	for _, id := range ids {
		n.ids = append(n.ids, id)
		n.start(id)
	}
	n.mix = n.newMix()
	n.publish()
	n.settle()
	return n
}

func (n *network) start(id target.ID) {
	n.incarnations++
	n.models[id] = NewModel(Config{
		Self:        id,
		Incarnation: target.Incarnation(n.incarnations),
		Service:     "liedlive",
		Gate: target.GateConfig{
			Limit: testLimit,
		},
		Seed: n.incarnations,
	}, n.now)
	n.targets[id] = service.Target{
		ID:           id,
		Incarnation:  target.Incarnation(n.incarnations),
		Domain:       "d",
		Weight:       50,
		HomeEligible: true,
	}
}

// publish makes a new table of the targets, which no model has adopted yet.
func (n *network) publish() {
	n.version++
	var l []service.Target
	for _, id := range n.ids {
		if x, ok := n.targets[id]; ok {
			l = append(l, x)
		}
	}
	v := service.Vector{
		Intent: 1,
		Roster: n.version,
	}
	n.tables = append(n.tables, service.NewTable("liedlive", testService, testAddress, v, l))
}

func (n *network) latest() *service.Table {
	return n.tables[len(n.tables)-1]
}

func (n *network) adopt(id target.ID) {
	n.update(id, TableMsg{
		Table: n.latest(),
	})
}

// update passes a message to one model and queues its effects.
func (n *network) update(id target.ID, msg Msg) {
	m := n.models[id]
	if m == nil {
		return
	}
	for _, e := range append([]Effect(nil), m.Update(n.now, msg)...) {
		n.performEffect(id, e)
	}
	n.deliverEvents()
	require.Zero(n.t, m.Stats().Violations, "the model of %s broke an invariant", id)
}

func (n *network) deliverEvents() {
	l := n.pendingEvents
	n.pendingEvents = nil
	for _, e := range l {
		n.update(e.at, e.msg)
	}
}

func (n *network) performEffect(id target.ID, e Effect) {
	switch x := e.(type) {
	case DeliverEffect:
		n.recordDelivery(id, x.Data)
	case ForwardEffect:
		n.packets = append(n.packets, testPacket{
			to: x.To,
			msg: PacketMsg{
				Meta:  x.Meta,
				Inner: decodeTestPacket(x.Data),
				Data:  x.Data,
			},
		})
	case ResetEffect:
		n.reset(x.Data)
	case EndFlowEffect:
		if f := n.flows[x.Key]; f != nil && f.holder == id {
			n.end(x.Key)
		}
	case SyncEffect:
		n.queue(id, x.To, SyncMsg{
			From:   id,
			Vector: x.Vector,
			Flows:  x.Flows,
			Full:   x.Full,
		})
	case SyncRequestEffect:
		n.queue(id, x.To, SyncRequestMsg{
			From:   id,
			Vector: x.Vector,
			Full:   x.Full,
		})
	case RegisterEffect:
		n.queue(id, x.To, RegisterMsg{
			From:   id,
			Opened: x.Opened,
			Ended:  x.Ended,
		})
	case ReserveEffect:
		n.queue(id, x.To, ReserveMsg{
			From:   id,
			Key:    x.Key,
			Vector: x.Vector,
		})
	case ReservedEffect:
		n.queue(id, x.To, ReservedMsg{
			From:     id,
			Key:      x.Key,
			Admitted: x.Admitted,
		})
	case ReleaseEffect:
		n.queue(id, x.To, ReleaseMsg{
			From: id,
			Key:  x.Key,
		})
	case LoadEffect:
		for _, p := range n.ids {
			if p != id {
				n.queue(id, p, LoadMsg{
					From:   id,
					Active: x.Active,
					Limit:  x.Limit,
				})
			}
		}
	}
}

func (n *network) queue(from, to target.ID, m Msg) {
	l := testLink{
		from: from,
		to:   to,
	}
	n.control[l] = append(n.control[l], m)
}

// recordDelivery records which target holds a flow.
func (n *network) recordDelivery(id target.ID, data []byte) {
	i := decodeTestPacket(data)
	f := n.flows[i.Key]
	require.NotNil(n.t, f)
	n.deliveryCount[id]++
	if i.Initial() && f.ended {
		// A first packet that arrives after its flow ended opens a flow that the
		// caller's reset ends at once.
		n.pendingEvents = append(n.pendingEvents, testEvent{
			at: id,
			msg: FlowEndedMsg{
				Key: i.Key,
			},
		})
		return
	}
	if i.Initial() && !f.live {
		f.live = true
		f.holder = id
		n.pendingEvents = append(n.pendingEvents, testEvent{
			at: id,
			msg: FlowEstablishedMsg{
				Key: i.Key,
			},
		})
		return
	}
	// A late packet may still reach the stack of a flow that ended there.
	if f.live && n.models[id].Holds(i.Key) {
		require.Equal(n.t, f.holder, id, "flow %s is held by two targets", f.key)
	}
}

func (n *network) reset(data []byte) {
	i := decodeTestPacket(data)
	f := n.flows[i.Key]
	require.False(n.t, f.live, "live flow %s at %s was reset", f.key, f.holder)
	n.resets++
	if i.Initial() {
		n.refused++
	}
}

func (n *network) end(k flow.Key) {
	f := n.flows[k]
	if f == nil || !f.live {
		return
	}
	f.live = false
	f.ended = true
	n.update(f.holder, FlowEndedMsg{
		Key: k,
	})
}

// open sends the first packet of a new flow to its home in a recent table.
func (n *network) open() flow.Key {
	n.nextKey++
	k := flow.Key{
		Source: 0x64400000 + n.nextKey,
		Port:   40000,
	}
	n.flows[k] = &testFlow{
		key: k,
	}
	n.send(k, header.TCPFlagSyn)
	return k
}

// send sends a packet to the home of its flow in one of the latest tables, as a
// balancer with an older table would.
func (n *network) send(k flow.Key, flags header.TCPFlags) {
	back := n.rand.IntN(min(4, len(n.tables)))
	t := n.tables[len(n.tables)-1-back]
	h, ok := t.HomeOf(k)
	if !ok {
		return
	}
	d := encodeTestPacket(k, flags)
	n.packets = append(n.packets, testPacket{
		to: h.ID,
		msg: PacketMsg{
			Meta: packet.Meta{
				Kind:    packet.KindForward,
				Service: testService,
				Vector:  t.Vector,
			},
			Inner: decodeTestPacket(d),
			Data:  d,
		},
	})
}

// deliverPacket delivers the packet at an index.
func (n *network) deliverPacket(i int) {
	p := n.packets[i]
	n.packets = append(n.packets[:i], n.packets[i+1:]...)
	n.update(p.to, p.msg)
}

// deliverControl delivers the oldest message of one link.
func (n *network) deliverControl(l testLink) {
	q := n.control[l]
	if len(q) == 0 {
		return
	}
	n.control[l] = q[1:]
	n.update(l.to, q[0])
}

// disconnect breaks one direction: messages in flight are lost.
func (n *network) disconnect(l testLink) {
	n.control[l] = nil
	n.update(l.to, PeerLostMsg{
		From: l.from,
	})
	n.update(l.from, PeerUnreachableMsg{
		To: l.to,
	})
}

// crash ends a target and every flow that it holds.
func (n *network) crash(id target.ID) {
	delete(n.models, id)
	for _, f := range n.flows {
		if f.live && f.holder == id {
			f.live = false
			f.ended = true
		}
	}
	for l := range n.control {
		if l.from == id || l.to == id {
			n.disconnect(l)
		}
	}
}

// settle adopts the latest table everywhere and empties all queues.
func (n *network) settle() {
	for _, id := range n.ids {
		n.adopt(id)
	}
	for range 60 {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, id := range n.ids {
			n.update(id, TickMsg{})
		}
		for i := 0; i < 10_000 && n.step(); i++ {
		}
	}
}

// step delivers one waiting message or packet and reports whether there was
// one.
func (n *network) step() bool {
	for _, a := range n.ids {
		for _, b := range n.ids {
			l := testLink{
				from: a,
				to:   b,
			}
			if len(n.control[l]) > 0 {
				n.deliverControl(l)
				return true
			}
		}
	}
	if len(n.packets) > 0 {
		n.deliverPacket(0)
		return true
	}
	return false
}

// live returns the keys of live flows in a fixed order.
func (n *network) live() []flow.Key {
	var l []flow.Key
	for i := uint32(1); i <= n.nextKey; i++ {
		k := flow.Key{
			Source: 0x64400000 + i,
			Port:   40000,
		}
		if n.flows[k].live {
			l = append(l, k)
		}
	}
	return l
}

func address(a netip.AddrPort) tcpip.Address {
	return tcpip.AddrFrom4(a.Addr().As4())
}

func encodeTestPacket(k flow.Key, flags header.TCPFlags) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	header.IPv4(b).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     address(k.AddrPort()),
		DstAddr:     address(testAddress),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort:    k.Port,
		DstPort:    testAddress.Port(),
		DataOffset: header.TCPMinimumSize,
		Flags:      flags,
	})
	return b
}

func decodeTestPacket(b []byte) packet.Inner {
	i, r := packet.ParseInner(b)
	if r != packet.ReasonNone {
		panic(fmt.Sprintf("test packet: %s", r))
	}
	return i
}
