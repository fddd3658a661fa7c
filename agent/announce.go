package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
)

const (
	// pulsePeriod is the time between two heartbeats to the balancer.
	pulsePeriod = 300 * time.Millisecond
	// announcePeriod is the longest time between two whole announcements.
	announcePeriod = 10 * time.Second
	// wantPeriod is the least time between two requests for newer state.
	wantPeriod = 50 * time.Millisecond
	// changePeriod is the least time between two announcements of new figures.
	changePeriod = time.Second
)

// said is what the balancer was last told.
type said struct {
	at       time.Time
	pulseAt  time.Time
	revision uint64
	version  uint64
	weight   uint32
	cold     bool
}

// tick runs the model's timeouts, keeps the uplink and sends the heartbeat.
func (r *Runtime) tick() {
	now := r.config.Now()
	r.update(TickMsg{})
	if a, moved := r.parent.choose(now, r.follower.Balancers()); moved {
		r.config.Log.Info().Str("balancer", a).Msg("announcing to another balancer")
		r.uplink.SetAddresses([]string{a})
	}
	r.publishState()
	r.pulse(now)
}

// pulse sends the heartbeat when it is due: a whole announcement when anything
// in it has changed, else the load alone.
func (r *Runtime) pulse(now time.Time) {
	if r.up == nil || now.Sub(r.said.pulseAt) < pulsePeriod {
		return
	}
	s := r.State()
	n := r.sayNow(s)
	n.at = r.said.at
	n.pulseAt = r.said.pulseAt
	old := now.Sub(r.said.at) >= announcePeriod
	changed := n != r.said && now.Sub(r.said.at) >= changePeriod
	if old || changed {
		r.announce()
		return
	}
	r.said.pulseAt = now
	r.up.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Pulse{
			Pulse: &controlpb.Pulse{
				Active: s.Active,
				Limit:  s.Limit,
			},
		},
	})
}

func (r *Runtime) sayNow(s State) said {
	return said{
		revision: s.IntentRevision,
		version:  s.RosterVersion,
		weight:   r.weight(),
		cold:     s.Cold,
	}
}

// announce tells the balancer everything that the roster holds.
func (r *Runtime) announce() {
	if r.up == nil {
		return
	}
	s := r.State()
	r.said = r.sayNow(s)
	r.said.at = r.config.Now()
	r.said.pulseAt = r.said.at
	r.up.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{
			Announce: &controlpb.Announce{
				Member:         r.member(),
				IntentRevision: r.follower.IntentRevision(),
				RosterVersion:  uint64(r.follower.RosterVersion()),
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

// weightUnit rounds the announced weight, so that it moves seldom.
const weightUnit = 25

// weight is the learned capacity, rounded.
func (r *Runtime) weight() uint32 {
	c := r.model.Gate().Capacity()
	return max(1, (c+weightUnit/2)/weightUnit*weightUnit)
}

// want asks the balancer for everything newer than what is held here. Many held
// packets make one request.
func (r *Runtime) want() {
	now := r.config.Now()
	if r.up == nil || now.Sub(r.wantedAt) < wantPeriod {
		return
	}
	r.wantedAt = now
	r.up.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Want{
			Want: &controlpb.Want{
				IntentRevision: r.follower.IntentRevision(),
				RosterVersion:  uint64(r.follower.RosterVersion()),
				Service:        r.config.Config.Service,
			},
		},
	})
}

// leftRoster reports whether the roster shows this target as leaving.
func (r *Runtime) leftRoster() bool {
	return !r.State().Joined
}

func (r *Runtime) publishState() {
	now := r.config.Now()
	g := r.model.Gate()
	r.state.Store(&State{
		IntentRevision: r.follower.IntentRevision(),
		RosterVersion:  uint64(r.follower.RosterVersion()),
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
