package director

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// offer sends a packet to the agents of the route's services, also earlier ones, that
// replied unsure. At most maxOffers packets of a flow go to agents other than those that
// have just started without a planned stop. It begins with the agents for which the flow
// would be drawn. An agent that was offered a packet and has neither accepted nor returned it
// comes last: its backend server may hold the half of a handshake that another one completed,
// and drops packets.
func (m *Model) offer(now time.Time, l *lookup) {
	if len(l.packets) == 0 {
		// A lookup without a packet ends; the caller's next packet starts another.
		delete(m.lookups, l.segment.Tuple)
		return
	}
	address := routing.AddressOf(l.segment.Tuple)
	r := m.declared.Routes[address]
	for _, again := range [...]bool{false, true} {
		for i := range l.replies {
			a := &l.replies[i]
			if a.reply == replyUnsure && a.offered == again && m.earlier.mayHold(address, r, a.member.Service) {
				m.offerTo(now, l, a)
			}
		}
	}
}

// offerTo sends a packet of a lookup to an unsure agent, unless that might count as
// misrouting a live flow.
func (m *Model) offerTo(now time.Time, l *lookup, a *agentReply) {
	agent := a.member
	if m.offersCount(now, agent) {
		if l.offerCount() >= maxOffers || l.awaitsRestart(now) {
			return
		}
		l.offers++
		l.offeredAt = now
		l.timeout = max(l.timeout, now.Sub(l.startedAt)+offerTimeout)
	}
	a.reply = replyOffered
	a.offered = true
	m.stats.Offers++
	m.send(agent, l.segment.Tuple, l.packets[0], true)
}

// offersCount reports whether packets offered to an agent count towards maxOffers.
func (m *Model) offersCount(now time.Time, agent *member) bool {
	return agent.plannedRestart || now.Sub(agent.startedAt) > m.config.RestartGrace
}

// awaitsRestart reports whether an agent that has not replied is being restarted as planned:
// its next process may know the flow.
func (l *lookup) awaitsRestart(now time.Time) bool {
	return slices.ContainsFunc(l.replies, func(a agentReply) bool {
		return a.reply == replyNone && a.member.report.Stopping && a.member.silence(now) < lostTimeout
	})
}

// conclude advances a lookup in which no reply is expected any more. It resets the flow
// only when each agent in the lookup has replied that it does not hold the flow, or has
// not replied and been silent for lostTimeout, and the newest list of agents was
// requested no earlier than the lookup started.
func (m *Model) conclude(now time.Time, l *lookup) {
	for !m.awaitsReply(now, l) && m.widens(now, l) {
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

// widens reports whether a lookup goes on to the next scope. While agents of the balancer's
// failure domain are unsure that have just started without a planned stop, it waits for
// widenDelay before it queries all others: the flow is most likely here, and after a crash of
// all agents the queries about all flows would cross domains for nothing. If offers to the
// unsure agents count, all others are queried before one of them is offered a packet, as one
// of the others may hold the flow.
func (m *Model) widens(now time.Time, l *lookup) bool {
	if l.scope != scopeLocal {
		return l.scope < scopeAll
	}
	free := false
	for _, a := range l.replies {
		if a.reply != replyUnsure && a.reply != replyOffered {
			continue
		}
		if m.offersCount(now, a.member) {
			return true
		}
		free = true
	}
	return !free || now.Sub(l.startedAt) >= widenDelay
}

// awaitsReply reports whether a reply is still expected. Once a lookup has run for
// lookupRetryInterval, an unresponsive agent no longer delays it.
func (m *Model) awaitsReply(now time.Time, l *lookup) bool {
	beforeRetry := now.Sub(l.startedAt) <= lookupRetryInterval
	for _, a := range l.replies {
		if a.reply == replyNone && (beforeRetry || !a.member.unresponsive(now)) {
			return true
		}
	}
	return false
}

// heldNowhere reports whether each agent in the lookup has replied that it does not hold
// the flow, has been silent for lostTimeout, or is in a lost failure domain. A silent agent is
// assumed to have lost its instance or its network: callers are better off with a reset.
func (m *Model) heldNowhere(now time.Time, l *lookup) bool {
	for _, a := range l.replies {
		if a.reply != replyUnheld && a.member.silence(now) < lostTimeout && !m.isLost(a.member) {
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
			if l.offers > 0 {
				m.offerHistories[l.segment.Tuple] = offerHistory{
					offers:    l.offers,
					offeredAt: l.offeredAt,
				}
			}
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
	unsure := now.Sub(l.unsureQueriedAt) >= unsureRetryInterval
	if unsure {
		l.unsureQueriedAt = now
	}
	for i := range l.replies {
		a := &l.replies[i]
		if a.reply == replyOffered {
			// If the agent replies unsure again, it may get another offer. The offers
			// already made still count.
			a.reply = replyNone
		}
		if a.reply == replyNone || (a.reply == replyUnsure && unsure) {
			m.query(now, a.member, l)
		}
	}
	m.conclude(now, l)
}

// logTimeout logs a lookup that timed out, with the number of agents that have not
// replied that they do not hold the flow, and the name of the last one in l.replies.
func (m *Model) logTimeout(l *lookup) {
	n := LogEffect{
		Event: "lookup timed out; it is not known whether any agent holds the flow; a later packet starts another",
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
