package director

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// offer hands a packet to the agents that do not know all flows of their backend
// servers, once nobody else can hold the flow. Where it begins differs from search to
// search, so that the few offers of each reach all agents in the end.
func (m *Model) offer(now time.Time, l *lookup) {
	if len(l.held) == 0 {
		// A search without a packet leaves the flow to its caller's next one.
		delete(m.lookups, l.segment.Tuple)
		return
	}
	address := routing.AddressOf(l.segment.Tuple)
	r := m.declared.Routes[address]
	for i := range l.replies {
		a := &l.replies[(i+l.turn)%len(l.replies)]
		x := a.member
		if a.reply != replyUnsure || !m.former.mayHold(address, r, x.Service) {
			continue
		}
		if x.stopped || now.Sub(x.since) > recentLife {
			if l.offers == maxOffers {
				continue
			}
			l.offers++
			l.timeout = max(l.timeout, offerTimeout)
		}
		a.reply = replyOffered
		m.stats.Offers++
		m.send(x, l.held[0], true)
	}
}

// conclude moves a search on once all that were asked have answered. A flow is
// reset only when no agent of a list that was read after its packet holds it, but
// for those that are gone.
func (m *Model) conclude(now time.Time, l *lookup) {
	for !m.waits(now, l) && l.reach < reachAll {
		l.reach++
		m.widen(now, m.declared.Routes[routing.AddressOf(l.segment.Tuple)], l)
	}
	if m.waits(now, l) {
		return
	}
	if l.count(replyUnsure)+l.count(replyOffered) > 0 {
		m.offer(now, l)
		return
	}
	if !m.certain(now, l) {
		return
	}
	if m.listedAt.Before(l.started) {
		m.wantList(now)
		return
	}
	delete(m.lookups, l.segment.Tuple)
	m.stats.LookupsUnheld++
	m.reset(l.segment, CauseNotHeld, len(l.replies))
}

// waits reports whether an answer is still to be expected. An agent that is not
// heard does not keep a search from going further, once it was asked twice.
func (m *Model) waits(now time.Time, l *lookup) bool {
	patient := now.Sub(l.started) <= lookupRetry
	for _, a := range l.replies {
		if a.reply == replyNone && (patient || !a.member.missing(now)) {
			return true
		}
	}
	return false
}

// certain reports whether no agent holds the flow. One that was silent for long has
// lost its instance or its network, and callers gain from an end of the flow.
func (m *Model) certain(now time.Time, l *lookup) bool {
	for _, a := range l.replies {
		if a.reply != replyUnheld && a.member.silence(now) < missedLimit {
			return false
		}
	}
	return true
}

// wantList asks for a fresh list of agents, at most every listPause.
func (m *Model) wantList(now time.Time) {
	if now.Sub(m.listAsked) < listPause {
		return
	}
	m.listAsked = now
	m.stats.ListRequests++
	m.emit(ListEffect{})
}

// tickLookups repeats questions and gives searches up.
func (m *Model) tickLookups(now time.Time) {
	m.searching = slices.DeleteFunc(m.searching, func(l *lookup) bool {
		return m.lookups[l.segment.Tuple] != l
	})
	for _, l := range slices.Clone(m.searching) {
		switch {
		case m.lookups[l.segment.Tuple] != l:
		case now.Sub(l.started) > l.timeout:
			delete(m.lookups, l.segment.Tuple)
			m.stats.LookupsTimedOut++
			m.noteTimeout(l)
		case now.Sub(l.asked) > l.retry:
			l.asked = now
			l.retry *= 2
			m.repeat(now, l)
		}
	}
}

// dropGone leaves agents out of a search that are not known any more.
func (m *Model) dropGone(l *lookup) {
	l.replies = slices.DeleteFunc(l.replies, func(a answered) bool {
		return m.members[a.member.Name] != a.member
	})
}

func (m *Model) repeat(now time.Time, l *lookup) {
	m.dropGone(l)
	for i := range l.replies {
		a := &l.replies[i]
		if a.reply == replyOffered {
			// Asked again, the agent answers, or the packet is handed over again.
			a.reply = replyNone
		}
		if a.reply != replyUnheld {
			m.ask(now, a.member, l)
		}
	}
	m.conclude(now, l)
}

// noteTimeout names an agent that has not answered.
func (m *Model) noteTimeout(l *lookup) {
	n := LogEffect{
		Event: "no certain answer where the flow lives",
		Flow:  l.segment.Tuple,
	}
	for _, a := range l.replies {
		if a.reply != replyUnheld {
			n.Member = a.member.Name
			n.Count++
		}
	}
	m.emit(n)
}
