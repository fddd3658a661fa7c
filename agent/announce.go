package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
)

const (
	// heartbeatInterval is the time between two heartbeats to the balancer.
	heartbeatInterval = 300 * time.Millisecond
	// maxAnnounceInterval is the longest time between two full announcements.
	maxAnnounceInterval = 10 * time.Second
	// minRequestInterval is the shortest time between two requests for newer
	// declared state or a newer roster.
	minRequestInterval = 50 * time.Millisecond
	// minAnnounceInterval is the shortest time between two announcements when
	// values have changed.
	minAnnounceInterval = time.Second
)

// announcement is what the balancer was last sent, and when.
type announcement struct {
	at             time.Time
	heartbeatAt    time.Time
	intentRevision uint64
	rosterVersion  uint64
	weight         uint32
	cold           bool
}

// tick runs the model's timeouts, connects to another balancer when the current
// one is unreachable and sends the heartbeat.
func (r *Runtime) tick() {
	now := r.config.Now()
	r.update(TickMsg{})
	if a, moved := r.selector.choose(now, r.replica.Balancers()); moved {
		r.config.Log.Info().Str("balancer", a).Msg("announcing to another balancer")
		r.uplink.SetAddresses([]string{a})
	}
	r.publishState()
	r.sendHeartbeat(now)
}

// sendHeartbeat sends a heartbeat when it is due: a full announcement when its
// content has changed or the last one is too old, otherwise only the load.
func (r *Runtime) sendHeartbeat(now time.Time) {
	if r.uplinkConn == nil || now.Sub(r.announced.heartbeatAt) < heartbeatInterval {
		return
	}
	state := r.State()
	next := r.currentAnnouncement(state)
	next.at = r.announced.at
	next.heartbeatAt = r.announced.heartbeatAt
	old := now.Sub(r.announced.at) >= maxAnnounceInterval
	changed := next != r.announced && now.Sub(r.announced.at) >= minAnnounceInterval
	if old || changed {
		r.announce()
		return
	}
	r.announced.heartbeatAt = now
	r.uplinkConn.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Pulse{
			Pulse: &controlpb.Pulse{
				Active: state.Active,
				Limit:  state.Limit,
			},
		},
	})
}

func (r *Runtime) currentAnnouncement(s State) announcement {
	return announcement{
		intentRevision: s.IntentRevision,
		rosterVersion:  s.RosterVersion,
		weight:         r.weight(),
		cold:           s.Cold,
	}
}

// announce sends the balancer a full announcement: this target's roster entry
// and its current load.
func (r *Runtime) announce() {
	if r.uplinkConn == nil {
		return
	}
	s := r.State()
	r.announced = r.currentAnnouncement(s)
	r.announced.at = r.config.Now()
	r.announced.heartbeatAt = r.announced.at
	r.uplinkConn.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{
			Announce: &controlpb.Announce{
				Member:         r.member(),
				IntentRevision: r.replica.IntentRevision(),
				RosterVersion:  uint64(r.replica.RosterVersion()),
				Vitals: &controlpb.Vitals{
					Active:     s.Active,
					Limit:      s.Limit,
					Capacity:   s.Capacity,
					Cold:       s.Cold,
					Restarts:   s.Restarts,
					Away:       uint32(s.FlowsAtPeers),
					Violations: s.Stats.Violations,
					Refused:    s.Stats.Refused,
					Admitted:   s.Stats.Admitted,
				},
			},
		},
	})
}

func (r *Runtime) member() *controlpb.Member {
	c := &r.config.Config
	state := controlpb.MemberState_MEMBER_STATE_JOINED
	switch {
	case r.gone:
		state = controlpb.MemberState_MEMBER_STATE_GONE
	case r.leaving:
		state = controlpb.MemberState_MEMBER_STATE_LEAVING
	}
	return &controlpb.Member{
		Target:         string(c.Self),
		Incarnation:    uint64(c.Incarnation),
		Service:        c.Service,
		Domain:         c.Domain,
		PacketAddress:  r.config.PacketAddress,
		ControlAddress: r.config.ControlAddress,
		Weight:         r.weight(),
		State:          state,
	}
}

// weightStep is the step, in flows, to which the announced weight is rounded,
// so that it changes rarely.
const weightStep = 25

// weight returns the learned capacity in flows, rounded to weightStep and at
// least 1.
func (r *Runtime) weight() uint32 {
	c := r.model.Gate().Capacity()
	return max(1, (c+weightStep/2)/weightStep*weightStep)
}

// requestTable asks the balancer for newer declared state and a newer roster than
// the replica holds. It sends at most one request every minRequestInterval, however
// many packets are held.
func (r *Runtime) requestTable() {
	now := r.config.Now()
	if r.uplinkConn == nil || now.Sub(r.requestedAt) < minRequestInterval {
		return
	}
	r.requestedAt = now
	r.uplinkConn.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Want{
			Want: &controlpb.Want{
				IntentRevision: r.replica.IntentRevision(),
				RosterVersion:  uint64(r.replica.RosterVersion()),
				Service:        r.config.Config.Service,
			},
		},
	})
}

// notJoined reports whether this target takes no part in its service under the
// table in force.
func (r *Runtime) notJoined() bool {
	return !r.State().Joined
}

func (r *Runtime) publishState() {
	now := r.config.Now()
	g := r.model.Gate()
	r.state.Store(&State{
		IntentRevision: r.replica.IntentRevision(),
		RosterVersion:  uint64(r.replica.RosterVersion()),
		Active:         g.Active(),
		Limit:          r.model.limit(now),
		Capacity:       g.Capacity(),
		FlowsAtPeers:   r.model.FlowsAtPeers(),
		Cold:           g.Cold(now),
		Fenced:         r.model.fenced,
		Joined:         r.model.self != nil && r.model.self.HomeEligible,
		Restarts:       g.Restarts(),
		Stats:          r.model.Stats(),
		UnsyncedPeers:  r.model.UnsyncedPeers(),
	})
}
