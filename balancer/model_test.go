package balancer

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func newTestModel() *Model {
	return NewModel(Config{
		Name:           "b1",
		Region:         "bayern",
		Domain:         "nuernberg",
		ControlAddress: "b1:1",
		Lease: lease.Config{
			Holder:         "b1",
			TTL:            LeaseTTL,
			RenewInterval:  LeaseRenewInterval,
			SilenceTimeout: LeaseSilenceTimeout,
		},
	}, start)
}

// becomeTestRegistrar makes the model the registrar: it answers the platform calls
// of the lease as an empty platform would.
func becomeTestRegistrar(m *Model, now time.Time) {
	now = now.Add(3 * time.Second)
	for _, msg := range []Msg{
		TickMsg{},
		lease.ReadMsg{},
		lease.WriteMsg{Outcome: lease.OutcomeWritten, Version: 1},
	} {
		m.Update(now, msg)
	}
}

func instance(name string) *controlpb.Member {
	return &controlpb.Member{
		Target:         name,
		Incarnation:    1,
		Service:        roster.InstanceService,
		ControlAddress: name + ":1",
		State:          controlpb.MemberState_MEMBER_STATE_JOINED,
	}
}

// envelopes returns the messages that the effects send.
func envelopes(l []Effect) []*controlpb.Envelope {
	var e []*controlpb.Envelope
	for _, x := range l {
		if s, ok := x.(SendEffect); ok {
			e = append(e, s.Envelope)
		}
	}
	return e
}

// TestIsolatedBalancerStopsSending cuts off a balancer and checks that it is isolated
// and closes its agents' connections. TestStoppedRoutesDropEverything covers packets.
func TestIsolatedBalancerStopsSending(t *testing.T) {
	m := newTestModel()
	m.Update(start, OpenMsg{Conn: 1, Hello: &controlpb.Hello{Name: "b2", Role: roleBalancer}})
	r := roster.NewRoster()
	g := roster.NewRegistrar(r, 1, start)
	g.Claim(instance("b1"), "b2")
	g.Claim(instance("b2"), "b2")
	m.Update(start, EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Roster{Roster: r.Since(0, "")},
	}})
	m.Update(start, OpenMsg{Conn: 2, Hello: &controlpb.Hello{Name: "t1", Role: roleAgent}})
	m.Update(start.Add(10*time.Second), TickMsg{})
	require.False(t, m.Isolated(), "a neighbour is connected")

	m.Update(start.Add(11*time.Second), CloseMsg{Conn: 1})
	e := m.Update(start.Add(12*time.Second), TickMsg{})
	require.True(t, m.Isolated())
	require.Contains(t, e, CloseEffect{Conn: 2}, "the connections of its agents are closed")

	m.Update(start.Add(13*time.Second), DocumentMsg{})
	m.Update(start.Add(13*time.Second), TickMsg{})
	require.False(t, m.Isolated(), "the platform responds")
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	m := newTestModel()
	old := intent.NewDocument("bayern")
	e := intent.NewEdit(old)
	e.SetDomainOutOfService("nuernberg", true, start)
	m.Update(start, DocumentMsg{Document: e.Done(&controlpb.Operation{Id: "1"})})
	require.Equal(t, uint64(1), m.IntentRevision())
	m.Update(start, DocumentMsg{Document: old})
	require.Equal(t, uint64(1), m.IntentRevision())
	require.True(t, m.document.OutOfService("nuernberg"))
	require.Equal(t, uint64(1), m.Stats().StaleDocuments)
}

// TestReportedNeighbourIsAsked reports that a balancer is unreachable although it
// is alive. The registrar requests its claims again, and none of its targets
// lapses. After a second report without new claims the target is gone.
func TestReportedNeighbourIsAsked(t *testing.T) {
	m := newTestModel()
	becomeTestRegistrar(m, start)
	require.True(t, m.IsRegistrar())
	now := start.Add(4 * time.Second)
	m.Update(now, OpenMsg{Conn: 1, Hello: &controlpb.Hello{Name: "b2", Role: roleClaimant}})
	claim := EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Claim{Claim: &controlpb.Claim{
			Balancer: "b2",
			Member: &controlpb.Member{
				Target:      "t1",
				Incarnation: 1,
				Service:     "liedlive",
				State:       controlpb.MemberState_MEMBER_STATE_JOINED,
			},
		}},
	}}
	m.Update(now, claim)
	sent := envelopes(m.Update(now, EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Lost{Lost: &controlpb.Lost{Balancer: "b2"}},
	}}))
	require.Len(t, sent, 1)
	require.NotNil(t, sent[0].GetClaimRequest())
	m.Update(now.Add(time.Second), claim)
	m.Update(now.Add(10*time.Second), TickMsg{})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_JOINED, m.roster.Member("t1").GetState())

	m.Update(now.Add(11*time.Second), EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Lost{Lost: &controlpb.Lost{Balancer: "b2"}},
	}})
	m.Update(now.Add(20*time.Second), TickMsg{})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_GONE, m.roster.Member("t1").GetState())
}

func TestSilentTargetIsSuspectThenLapsed(t *testing.T) {
	m := newTestModel()
	becomeTestRegistrar(m, start)
	now := start.Add(4 * time.Second)
	m.Update(now, OpenMsg{Conn: 1, Hello: &controlpb.Hello{Name: "t1", Role: roleAgent, Service: "liedlive"}})
	m.Update(now, EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{Announce: &controlpb.Announce{
			Member: &controlpb.Member{
				Target:      "t1",
				Incarnation: 1,
				Service:     "liedlive",
				State:       controlpb.MemberState_MEMBER_STATE_JOINED,
			},
		}},
	}})
	state := func() controlpb.MemberState { return m.roster.Member("t1").GetState() }
	m.Update(now.Add(suspectTimeout+time.Millisecond), TickMsg{})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_SUSPECT, state())
	m.Update(now.Add(2*time.Second), EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Pulse{Pulse: &controlpb.Pulse{}},
	}})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_JOINED, state())
	m.Update(now.Add(4*time.Second), TickMsg{})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_SUSPECT, state())
	m.Update(now.Add(7*time.Second), TickMsg{})
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_GONE, state())
	require.True(t, m.roster.Member("t1").GetCrashed())
}

// TestSuspectTargetIsClaimedAsSuspect guards against new flows to a silent target, and against
// the loss of one that has moved to another balancer: a balancer that repeats its claims must
// neither announce its silent targets as joined nor take them over from that balancer. A target
// that announces itself again must be claimed as joined, whatever the roster shows.
func TestSuspectTargetIsClaimedAsSuspect(t *testing.T) {
	m := newTestModel()
	m.Update(start, OpenMsg{Conn: 3, Hello: &controlpb.Hello{Name: "b3", Role: roleBalancer}})
	m.Update(start, EnvelopeMsg{Conn: 3, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Beat{Beat: &controlpb.Beat{Term: 1, Sequence: 1, Holder: "b2"}},
	}})
	m.Update(start, OpenMsg{Conn: 1, Hello: &controlpb.Hello{Name: "t1", Role: roleAgent, Service: "liedlive"}})
	member := &controlpb.Member{
		Target:      "t1",
		Incarnation: 1,
		Service:     "liedlive",
		State:       controlpb.MemberState_MEMBER_STATE_JOINED,
	}
	announce := EnvelopeMsg{Conn: 1, Envelope: &controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{Announce: &controlpb.Announce{Member: member}},
	}}
	m.Update(start, announce)
	m.roster.Put(member)
	now := start.Add(suspectTimeout + time.Millisecond)
	m.Update(now, TickMsg{})
	toRegistrar := OpenMsg{Conn: 2, ToRegistrar: true, Hello: &controlpb.Hello{Name: "b2", Role: roleBalancer}}
	require.Equal(t, map[string]controlpb.MemberState{
		"b1": controlpb.MemberState_MEMBER_STATE_JOINED,
		"t1": controlpb.MemberState_MEMBER_STATE_SUSPECT,
	}, claimedStates(m.Update(now, toRegistrar)))
	require.Equal(t, map[string]controlpb.MemberState{
		"t1": controlpb.MemberState_MEMBER_STATE_JOINED,
	}, claimedStates(m.Update(now, announce)))
}

// claimedStates returns the states in the claims that the effects send.
func claimedStates(l []Effect) map[string]controlpb.MemberState {
	states := map[string]controlpb.MemberState{}
	for _, e := range envelopes(l) {
		if c := e.GetClaim(); c != nil {
			states[c.GetMember().GetTarget()] = c.GetMember().GetState()
		}
	}
	return states
}
