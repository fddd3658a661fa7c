package director

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// offer sends a packet to the agents that do not know all flows of their backend
// servers yet, once no other agent can hold the flow. The agent that it starts with
// differs between lookups, so that the few offers of each reach all agents in the end.
func (m *Model) offer(now time.Time, l *lookup) {
	if len(l.packets) == 0 {
		// A lookup without a packet ends; the caller's next packet starts another.
		delete(m.lookups, l.segment.Tuple)
		return
	}
	address := routing.AddressOf(l.segment.Tuple)
	r := m.declared.Routes[address]
	for i := range l.replies {
		a := &l.replies[(i+l.firstOffer)%len(l.replies)]
		agent := a.member
		if a.reply != replyUnsure || !m.earlier.mayHold(address, r, agent.Service) {
			continue
		}
		if agent.plannedRestart || now.Sub(agent.startedAt) > recentStart {
			if l.offers == maxOffers {
				continue
			}
			l.offers++
			l.timeout = max(l.timeout, offerTimeout)
		}
		a.reply = replyOffered
		m.stats.Offers++
		m.send(agent, l.packets[0], true)
	}
}

// conclude advances a lookup once all agents that were queried have replied. It
// resets the flow only when none of the agents in a list that was read after the
// flow's packet came holds it; agents that are lost or removed are not waited for.
func (m *Model) conclude(now time.Time, l *lookup) {
	for !m.awaitsReply(now, l) && l.scope < scopeAll {
		l.scope++
		m.queryScope(now, m.declared.Routes[routing.AddressOf(l.segment.Tuple)], l)
	}
	if m.awaitsReply(now, l) {
		return
	}
	if l.count(replyUnsure)+l.count(replyOffered) > 0 {
		m.offer(now, l)
		return
	}
	if !m.heldNowhere(now, l) {
		return
	}
	if m.listedAt.Before(l.startedAt) {
		m.requestList(now)
		return
	}
	delete(m.lookups, l.segment.Tuple)
	m.stats.LookupsUnheld++
	m.reset(l.segment, CauseNotHeld, len(l.replies))
}

// awaitsReply reports whether a reply is still expected. Once the query was repeated,
// an unresponsive agent no longer delays the lookup.
func (m *Model) awaitsReply(now time.Time, l *lookup) bool {
	beforeRetry := now.Sub(l.startedAt) <= lookupRetryInterval
	for _, a := range l.replies {
		if a.reply == replyNone && (beforeRetry || !a.member.unresponsive(now)) {
			return true
		}
	}
	return false
}

// heldNowhere reports whether no agent holds the flow. An agent that has been silent
// for lostTimeout has lost its instance or its network: it is counted as not holding the
// flow, because callers are better off with a reset.
func (m *Model) heldNowhere(now time.Time, l *lookup) bool {
	for _, a := range l.replies {
		if a.reply != replyUnheld && a.member.silence(now) < lostTimeout {
			return false
		}
	}
	return true
}

// requestList requests a fresh list of agents, at most every minListInterval.
func (m *Model) requestList(now time.Time) {
	if now.Sub(m.listRequestedAt) < minListInterval {
		return
	}
	m.listRequestedAt = now
	m.stats.ListRequests++
	m.emit(ListEffect{})
}

// tickLookups repeats queries and ends lookups that have timed out.
func (m *Model) tickLookups(now time.Time) {
	m.activeLookups = slices.DeleteFunc(m.activeLookups, func(l *lookup) bool {
		return m.lookups[l.segment.Tuple] != l
	})
	for _, l := range slices.Clone(m.activeLookups) {
		switch {
		case m.lookups[l.segment.Tuple] != l:
		case now.Sub(l.startedAt) > l.timeout:
			delete(m.lookups, l.segment.Tuple)
			m.stats.LookupsTimedOut++
			m.logTimeout(l)
		case now.Sub(l.queriedAt) > l.retryAfter:
			l.queriedAt = now
			l.retryAfter *= 2
			m.resend(now, l)
		}
	}
}

// dropRemoved takes agents that were removed from the model out of a lookup.
func (m *Model) dropRemoved(l *lookup) {
	l.replies = slices.DeleteFunc(l.replies, func(a agentReply) bool {
		return m.members[a.member.Name] != a.member
	})
}

func (m *Model) resend(now time.Time, l *lookup) {
	m.dropRemoved(l)
	for i := range l.replies {
		a := &l.replies[i]
		if a.reply == replyOffered {
			// The agent replies to the repeated query, or is offered the packet again.
			a.reply = replyNone
		}
		if a.reply != replyUnheld {
			m.query(now, a.member, l)
		}
	}
	m.conclude(now, l)
}

// logTimeout logs a lookup that timed out, with the last of the agents that have not
// denied the flow and their number.
func (m *Model) logTimeout(l *lookup) {
	n := LogEffect{
		Event: "lookup timed out without a certain reply; the caller's next packet starts another",
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
