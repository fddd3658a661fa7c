package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// FlowHint is the saved hint of a flow: the latest acknowledgement number that its
// caller sent, and the agent that held the flow.
type FlowHint struct {
	Tuple flow.Tuple
	Ack   uint32
	// Owner is the name of the agent that held the flow, and BackendIncarnation the
	// incarnation of its backend server; zero is unknown.
	Owner              string
	BackendIncarnation uint64
	// Confirmed is set if the agent has confirmed that this incarnation held the flow.
	Confirmed bool
	// Foreign is set for a flow whose packets another balancer forwarded. Looking it up
	// is left to that balancer.
	Foreign bool
}

// RestoreMsg brings hints that an earlier process of this balancer, or another balancer,
// had saved. A flow that is not foreign and whose hint cannot be restored is looked up.
// If it ended with its backend server, it is to be reset before its caller sends the
// next request, which the caller might not be able to repeat.
type RestoreMsg struct {
	Flows []FlowHint
}

const (
	// restoreDelay gives agents that lost power together with the balancer the time to
	// start.
	restoreDelay = 300 * time.Millisecond
	// verifyTimeout ends a lookup that was started without a packet.
	verifyTimeout = 4 * time.Second
	// verifyBatch is the maximum number of lookups that one tick starts, so that small
	// instances have bandwidth left for packets.
	verifyBatch = 150
)

// minSavedAge is the age below which only confirmed flows are saved: most callers open a
// flow for one request, or keep it for long.
const minSavedAge = 1500 * time.Millisecond

// Snapshot returns up to limit hints of long flows that are open, not foreign, and were
// used within half of hintTimeout. Above the limit the choice is arbitrary.
func (m *Model) Snapshot(now time.Time, limit int) []FlowHint {
	var l []FlowHint
	for t, h := range m.hints {
		if len(l) == limit {
			break
		}
		long := h.incarnation != 0 || now.Sub(h.addedAt) >= minSavedAge
		current := h.opened && !h.closing && !h.foreign && !h.ended()
		if long && current && now.Sub(h.lastUsed) < hintTimeout/2 {
			l = append(l, h.save(t))
		}
	}
	return l
}

func (h *hint) save(t flow.Tuple) FlowHint {
	f := FlowHint{
		Tuple:              t,
		Ack:                h.ack,
		Owner:              h.member.Name,
		BackendIncarnation: h.member.backendIncarnation,
	}
	if h.incarnation != 0 {
		f.BackendIncarnation = h.incarnation
		f.Confirmed = true
	}
	return f
}

func (m *Model) handleRestore(x RestoreMsg) {
	m.unverified = append(m.unverified, x.Flows...)
	m.restored = false
}

// endFlowsOf handles the flows whose hints name a member whose backend server has ended
// before the given incarnation. Flows that an earlier one is known to have held are
// reset; their hints stay, so that later packets are, too. The other hints are removed,
// and lookups of their flows are scheduled. Foreign flows are left to their balancers.
func (m *Model) endFlowsOf(agent *member, incarnation uint64) {
	var ended, unknown []FlowHint
	for t, h := range m.hints {
		if h.member != agent {
			continue
		}
		current := h.opened && !h.closing && !h.foreign
		switch {
		case h.incarnation != 0 && h.incarnation < incarnation:
			if current {
				ended = append(ended, h.save(t))
			}
			continue
		case current:
			unknown = append(unknown, h.save(t))
		}
		delete(m.hints, t)
	}
	sortHints(ended)
	sortHints(unknown)
	for _, f := range ended {
		m.resetEnded(f)
	}
	m.unverified = append(m.unverified, unknown...)
	m.emit(LogEffect{
		Event:  "backend server has ended; its flows are reset or looked up",
		Member: agent.Name,
		Count:  len(ended) + len(unknown),
	})
}

// sortHints orders hints, as the order of a map is random and the same messages must have
// the same effects.
func sortHints(l []FlowHint) {
	slices.SortFunc(l, func(a, b FlowHint) int {
		return cmp.Compare(a.Tuple.Hash(0), b.Tuple.Hash(0))
	})
}

func (m *Model) resetEnded(f FlowHint) {
	m.reset(segment.Segment{
		Tuple: f.Tuple,
		Flags: segment.Ack,
		Ack:   f.Ack,
	}, CauseServerEnded, 1)
}

// tickVerify restores hints once the agents are listed, and starts lookups for the
// other unverified flows that are not foreign once the model is ready.
func (m *Model) tickVerify(now time.Time) {
	if len(m.unverified) == 0 || m.declared == nil || m.listedAt.IsZero() {
		return
	}
	if !m.restored {
		m.restored = true
		m.unverified = slices.DeleteFunc(m.unverified, func(f FlowHint) bool { return m.restoreHint(now, f) || f.Foreign })
		m.sendRestoredHints(now)
	}
	if now.Sub(m.startedAt) < restoreDelay || !m.Ready(now) {
		return
	}
	n := min(len(m.unverified), verifyBatch)
	for _, f := range m.unverified[:n] {
		m.verify(now, f)
	}
	m.unverified = m.unverified[n:]
}

// restoreHint caches the saved location of a flow, also of one that is known to have
// ended, which it resets. It returns false if the location is unknown, or if another
// incarnation of that backend server is known and the saved one was not confirmed. If
// another incarnation is reported later, endFlowsOf handles the flow then.
func (m *Model) restoreHint(now time.Time, f FlowHint) bool {
	agent := m.members[f.Owner]
	if agent == nil || f.BackendIncarnation == 0 {
		return false
	}
	ended := f.Confirmed && agent.reportedIncarnation > f.BackendIncarnation
	if agent.backendIncarnation != 0 && agent.backendIncarnation != f.BackendIncarnation && !ended {
		return false
	}
	if !ended {
		agent.backendIncarnation = f.BackendIncarnation
	}
	if agent.lastReport.IsZero() && agent.unansweredSince.IsZero() {
		m.requestState(now, agent)
	}
	if m.hints[f.Tuple] != nil || m.lookups[f.Tuple] != nil {
		return true
	}
	m.stats.Restored++
	h := &hint{
		member:   agent,
		lastUsed: now,
		ack:      f.Ack,
		opened:   true,
		foreign:  f.Foreign,
	}
	if f.Confirmed {
		h.incarnation = f.BackendIncarnation
	}
	m.putHint(f.Tuple, h)
	if ended && !f.Foreign {
		m.resetEnded(f)
	}
	return true
}

func (m *Model) verify(now time.Time, f FlowHint) {
	r, ok := m.declared.Routes[routing.AddressOf(f.Tuple)]
	if !ok || m.hints[f.Tuple] != nil || m.lookups[f.Tuple] != nil {
		return
	}
	m.stats.Verified++
	l := m.newLookup(now, segment.Segment{
		Tuple: f.Tuple,
		Flags: segment.Ack,
		Ack:   f.Ack,
	})
	if l == nil {
		return
	}
	l.timeout = verifyTimeout
	m.queryScope(now, r, l)
	m.conclude(now, l)
}
