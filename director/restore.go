package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// FlowHint is a flow that passed a balancer, its caller's newest
// acknowledgement then, and where it lived.
type FlowHint struct {
	Tuple flow.Tuple
	Ack   uint32
	// Owner is the name of the agent and Life that of its backend server.
	Owner              string
	BackendIncarnation uint64
	// Foreign is set for a flow that passed another balancer.
	Foreign bool
}

// RestoreMsg brings the flows that an earlier process of this balancer had
// remembered. Those that live are found again; the callers of those that died
// with their backend servers are told before they send the next request, which
// they might not be able to repeat.
type RestoreMsg struct {
	Flows []FlowHint
}

const (
	// restoreDelay lets agents start that lost power together with a balancer.
	restoreDelay = 300 * time.Millisecond
	// verifyTimeout gives a search without packets up.
	verifyTimeout = 4 * time.Second
	// verifyBatch bounds the searches that one tick starts, so that the links of
	// thin instances carry packets meanwhile.
	verifyBatch = 150
)

// Snapshot returns up to limit open flows that pass this balancer, the most
// recently used ones among any.
func (m *Model) Snapshot(now time.Time, limit int) []FlowHint {
	var l []FlowHint
	for t, h := range m.hints {
		if len(l) == limit {
			break
		}
		if h.opened && !h.closing && !h.foreign && now.Sub(h.used) < hintLifetime/2 {
			l = append(l, FlowHint{
				Tuple:              t,
				Ack:                h.ack,
				Owner:              h.member.Name,
				BackendIncarnation: h.member.life,
			})
		}
	}
	return l
}

func (m *Model) restore(x RestoreMsg) {
	m.unverified = append(m.unverified, x.Flows...)
	m.recalled = false
}

// verifyMember searches for the flows that were at a member whose backend
// server has started anew.
func (m *Model) verifyMember(k *member) {
	var l []FlowHint
	for t, h := range m.hints {
		if h.member != k {
			continue
		}
		delete(m.hints, t)
		if h.opened && !h.closing && !h.foreign {
			l = append(l, FlowHint{
				Tuple: t,
				Ack:   h.ack,
			})
		}
	}
	// The order of a map is random; the same messages shall have the same effects.
	slices.SortFunc(l, func(a, b FlowHint) int {
		return cmp.Compare(a.Tuple.Hash(0), b.Tuple.Hash(0))
	})
	m.unverified = append(m.unverified, l...)
	m.emit(LogEffect{
		Event:  "backend server started anew, looking for its flows",
		Member: k.Name,
		Count:  len(l),
	})
}

// tickVerify recalls remembered flows once agents are listed, and starts searches
// for the others once agents are heard.
func (m *Model) tickVerify(now time.Time) {
	if len(m.unverified) == 0 || m.declared == nil || m.listedAt.IsZero() {
		return
	}
	if !m.recalled {
		m.recalled = true
		m.unverified = slices.DeleteFunc(m.unverified, func(f FlowHint) bool { return m.recall(now, f) || f.Foreign })
	}
	if now.Sub(m.started) < restoreDelay || !m.Ready(now) {
		return
	}
	n := min(len(m.unverified), verifyBatch)
	for _, f := range m.unverified[:n] {
		m.verify(now, f)
	}
	m.unverified = m.unverified[n:]
}

// recall takes a remembered flow as living where it did, unless another life of
// that backend server is known. If one is reported later, the flow is searched
// for then.
func (m *Model) recall(now time.Time, f FlowHint) bool {
	k := m.members[f.Owner]
	if k == nil || f.BackendIncarnation == 0 || (k.life != 0 && k.life != f.BackendIncarnation) {
		return false
	}
	k.life = f.BackendIncarnation
	if k.heard.IsZero() && k.asked.IsZero() {
		m.solicit(now, k)
	}
	if m.hints[f.Tuple] == nil && m.lookups[f.Tuple] == nil {
		m.stats.Restored++
		m.remember(f.Tuple, &hint{
			member:  k,
			used:    now,
			ack:     f.Ack,
			opened:  true,
			foreign: f.Foreign,
		})
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
	m.widen(now, r, l)
	m.conclude(now, l)
}
