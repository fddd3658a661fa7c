package agent

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// setOutOfService sets whether the failure domain of one target is out of
// service.
func (n *network) setOutOfService(id target.ID, out bool) {
	x := n.targets[id]
	x.OutOfService = out
	n.targets[id] = x
	n.publish()
	n.settle()
	n.tables = n.tables[len(n.tables)-1:]
}

// openFlowAt opens flows until a target holds one.
func (n *network) openFlowAt(id target.ID) flow.Key {
	for {
		k := n.open()
		n.settle()
		if n.flows[k].live && n.flows[k].holder == id {
			return k
		}
	}
}

func TestDomainOutOfServiceEndsOnlyItsFlows(t *testing.T) {
	n := newNetwork(t, 1, "a", "b", "c")
	for range 60 {
		n.open()
	}
	n.settle()
	at := map[target.ID]int{}
	for _, k := range n.live() {
		at[n.flows[k].holder]++
	}
	require.Positive(t, at["a"])
	n.setOutOfService("a", true)
	for _, k := range n.live() {
		require.NotEqual(t, target.ID("a"), n.flows[k].holder)
	}
	require.Len(t, n.live(), 60-at["a"])
	n.checkReachable()
}

// TestReturnedDomainHoldsNothing takes a failure domain out of service while
// its target holds an open flow and a reservation whose first packet is still
// in flight. After its return the target must hold neither flow.
func TestReturnedDomainHoldsNothing(t *testing.T) {
	n := newNetwork(t, 2, "a", "b", "c")
	n.update("a", ReserveMsg{
		From:   "b",
		Key:    flow.Key{Source: 1, Port: 1},
		Vector: n.latest().Vector,
	})
	n.openFlowAt("a")
	n.setOutOfService("a", true)
	n.setOutOfService("a", false)
	m := n.models["a"]
	require.Empty(t, m.flows)
	require.Zero(t, m.Gate().Active())
}

// TestDisputeGoesToTheEstablishedFlow makes other targets admit a flow that is
// established at b and report it to the flow's home. Only b may hold it afterwards.
func TestDisputeGoesToTheEstablishedFlow(t *testing.T) {
	n := newNetwork(t, 3, "a", "b", "c")
	k := n.openFlowAt("b")
	h, ok := n.latest().HomeOf(k)
	require.True(t, ok)
	for _, id := range n.ids {
		if id == "b" || id == h.ID {
			continue
		}
		n.update(id, ReserveMsg{
			From:   h.ID,
			Key:    k,
			Vector: n.latest().Vector,
		})
		n.queue(id, h.ID, SyncMsg{
			From:   id,
			Vector: n.latest().Vector,
			Flows:  []flow.Key{k},
		})
	}
	n.settle()
	n.checkReachable()
	for _, id := range n.ids {
		require.Equal(t, id == "b", n.models[id].Holds(k), "%s", id)
	}
}

func TestPacketsOfOtherServicesAreDropped(t *testing.T) {
	n := newNetwork(t, 4, "a")
	k := flow.Key{Source: 1, Port: 1}
	d := encodeTestPacket(k, header.TCPFlagSyn)
	for _, change := range []func(*PacketMsg){
		func(p *PacketMsg) { p.Meta.Service = testService + 1 },
		func(p *PacketMsg) { p.Inner.Destination = k.AddrPort() },
	} {
		p := PacketMsg{
			Meta: packet.Meta{
				Kind:    packet.KindForward,
				Service: testService,
				Vector:  n.latest().Vector,
			},
			Inner: decodeTestPacket(d),
			Data:  d,
		}
		change(&p)
		require.Equal(t, []Effect{DropEffect{Reason: packet.ReasonWrongService}}, n.models["a"].Update(n.now, p))
	}
}

func TestFullServiceRefusesAtOnce(t *testing.T) {
	n := newNetwork(t, 5, "a", "b")
	for range 2*testLimit + 50 {
		n.open()
		for n.step() {
		}
	}
	n.settle()
	require.LessOrEqual(t, len(n.live()), 2*testLimit/4, "a quarter of the limit is assumed until the capacity is learned")
	require.Equal(t, 2*testLimit+50-len(n.live()), n.refused)
}

// TestUnknownFlowWaitsForEveryPeer keeps one peer silent. A packet of an
// unknown flow is held and then dropped, never reset, because the silent peer
// may hold the flow.
func TestUnknownFlowWaitsForEveryPeer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	n := newNetwork(t, 6, "a", "b")
	m := NewModel(Config{
		Self:        "a",
		Incarnation: 9,
	}, now)
	targetA := n.targets["a"]
	targetA.Incarnation = 9
	targetB := n.targets["b"]
	targetB.HomeEligible = false
	table := service.NewTable("liedlive", testService, testAddress, service.Vector{Roster: 50}, []service.Target{targetA, targetB})
	m.Update(now, TableMsg{Table: table})
	d := encodeTestPacket(flow.Key{Source: 1, Port: 1}, header.TCPFlagAck)
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		effects := m.Update(now, TickMsg{})
		if i%10 == 0 {
			effects = append(effects, m.Update(now, PacketMsg{
				Meta: packet.Meta{
					Kind:    packet.KindForward,
					Service: testService,
					Vector:  table.Vector,
				},
				Inner: decodeTestPacket(d),
				Data:  d,
			})...)
		}
		for _, e := range effects {
			_, reset := e.(ResetEffect)
			require.False(t, reset, "the peer may hold the flow")
		}
	}
	require.Positive(t, m.Stats().Dropped[packet.ReasonUnsynced])
}
