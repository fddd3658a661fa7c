package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// lookUp starts a lookup of a flow, first in the balancer's failure domain, or adds a
// packet to the one that runs.
func (m *Model) lookUp(now time.Time, r routing.Route, s segment.Segment, data []byte) {
	l := m.lookups[s.Tuple]
	if l == nil {
		l = m.newLookup(now, s)
	}
	if l == nil {
		return
	}
	l.segment = s
	if len(l.packets) < lookupPackets {
		l.packets = append(l.packets, append([]byte(nil), data...))
	}
	if len(l.replies) == 0 {
		m.queryScope(now, r, l)
	}
	m.conclude(now, l)
}

// newLookup returns a new lookup, or nil when there are too many.
func (m *Model) newLookup(now time.Time, s segment.Segment) *lookup {
	if len(m.lookups) >= maxLookups {
		m.stats.LookupsDropped++
		return nil
	}
	l := &lookup{
		segment:    s,
		startedAt:  now,
		queriedAt:  now,
		retryAfter: lookupRetryInterval,
		timeout:    lookupTimeout,

		unsureQueriedAt: now,
	}
	if h, ok := m.offerHistories[s.Tuple]; ok && now.Sub(h.offeredAt) < offerRetention {
		l.offers = h.offers
		l.offeredAt = h.offeredAt
	}
	delete(m.offerHistories, s.Tuple)
	m.lookups[s.Tuple] = l
	m.activeLookups = append(m.activeLookups, l)
	m.stats.Lookups++
	return l
}

// queryScope queries the agents within the scope of a lookup that were not queried yet.
func (m *Model) queryScope(now time.Time, r routing.Route, l *lookup) {
	if l.scope == scopeDrawn {
		for _, agent := range m.drawn(r, l.segment.Tuple) {
			if l.replyOf(agent) == nil {
				m.query(now, agent, l)
			}
		}
		return
	}
	for _, agent := range m.sortedMembers {
		if l.replyOf(agent) == nil && m.inScope(r, l.scope, agent) {
			m.query(now, agent, l)
		}
	}
}

// drawn returns the agents of the balancer's failure domain for which placement would draw
// a flow first, in the order of their ranks.
func (m *Model) drawn(r routing.Route, t flow.Tuple) []*member {
	service, ok := r.Service(t)
	if !ok {
		return nil
	}
	seed := t.Hash(placeSalt)
	var l []*member
	for _, agent := range m.membersByService[service] {
		if agent.Domain != m.config.Domain {
			continue
		}
		rank := placement.Rank(seed, agent.key)
		i, _ := slices.BinarySearchFunc(l, rank, func(x *member, r uint64) int {
			return cmp.Compare(r, placement.Rank(seed, x.key))
		})
		if i < drawnQueries {
			l = slices.Insert(l, i, agent)
			l = l[:min(len(l), drawnQueries)]
		}
	}
	return l
}

func (m *Model) inScope(r routing.Route, scope lookupScope, agent *member) bool {
	switch scope {
	case scopeLocal:
		return agent.Domain == m.config.Domain && r.Includes(agent.Service)
	case scopeRoute:
		return r.Includes(agent.Service)
	}
	return true
}

func (m *Model) query(now time.Time, agent *member, l *lookup) {
	agent.expectReply(now)
	if l.replyOf(agent) == nil {
		l.replies = append(l.replies, agentReply{
			member: agent,
		})
	}
	agent.queries = append(agent.queries, holder.QueriedFlow{
		Tuple: l.segment.Tuple,
		Ack:   l.segment.Ack,
	})
	m.queriesPending = true
}

// flushQueries sends the collected queries.
func (m *Model) flushQueries() {
	m.queriesPending = false
	for _, agent := range m.sortedMembers {
		for len(agent.queries) > 0 {
			n := min(len(agent.queries), maxQueryFlows)
			m.emit(QueryEffect{
				To:    agent.Address,
				Flows: append([]holder.QueriedFlow(nil), agent.queries[:n]...),
			})
			agent.queries = agent.queries[n:]
		}
		agent.queries = nil
	}
}

// handleReply applies an agent's reply to the lookups of the flows in it.
func (m *Model) handleReply(now time.Time, msg ReplyMsg) {
	from := m.membersByAddress[msg.From]
	if from == nil {
		return
	}
	from.received(now)
	for _, t := range msg.Held {
		m.resolve(now, t, from, msg.BackendIncarnation)
	}
	for _, t := range msg.Unheld {
		if l := m.lookups[t]; l != nil {
			l.recordOffers(from, msg.Offers[t])
			m.recordReply(now, l, from, replyUnheld)
		}
	}
	for _, t := range msg.Unsure {
		l := m.lookups[t]
		if l == nil {
			continue
		}
		l.recordOffers(from, msg.Offers[t])
		if a := l.replyOf(from); a == nil || a.reply == replyNone {
			m.recordReply(now, l, from, replyUnsure)
		}
	}
}

// recordOffers records how many packets of the flow an agent was offered, also by other
// balancers.
func (l *lookup) recordOffers(from *member, n uint8) {
	if a := l.replyOf(from); a != nil {
		a.offers = int(n)
	}
}

// recordReply applies an agent's reply about one flow.
func (m *Model) recordReply(now time.Time, l *lookup, from *member, r reply) {
	a := l.replyOf(from)
	if a == nil {
		l.replies = append(l.replies, agentReply{
			member: from,
			reply:  r,
		})
	} else {
		a.reply = r
	}
	m.conclude(now, l)
}

// resolve caches the location of a flow, ends its lookup and sends the packets that
// waited. incarnation is the one that is known to hold the flow, or zero.
func (m *Model) resolve(now time.Time, t flow.Tuple, agent *member, incarnation uint64) {
	h := m.hints[t]
	if h == nil {
		h = &hint{
			addedAt: now,
		}
		m.putHint(t, h)
	}
	h.member = agent
	h.incarnation = incarnation
	h.lastUsed = now
	l := m.lookups[t]
	if l == nil {
		return
	}
	delete(m.lookups, t)
	m.stats.LookupsFound++
	h.ack = l.segment.Ack
	h.opened = true
	if a := l.replyOf(agent); a != nil && a.reply == replyOffered && len(l.packets) > 0 {
		l.packets = l.packets[1:]
	}
	for _, b := range l.packets {
		m.send(agent, t, b, false)
	}
}

// handleNotHeld handles a packet that an agent has returned because its backend server
// does not hold the flow.
func (m *Model) handleNotHeld(now time.Time, r routing.Route, from *member, msg RejectMsg, h *hint) {
	if h != nil {
		// Another agent has replied in the meantime that it holds the flow.
		m.send(h.member, msg.Segment.Tuple, msg.Data, false)
		return
	}
	l := m.lookups[msg.Segment.Tuple]
	if l == nil {
		m.lookUp(now, r, msg.Segment, msg.Data)
		l = m.lookups[msg.Segment.Tuple]
	}
	if l != nil {
		m.recordReply(now, l, from, replyUnheld)
	}
}
