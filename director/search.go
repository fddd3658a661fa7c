package director

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// seek asks where a flow lives, first in the caller's failure domain.
func (m *Model) seek(now time.Time, r routing.Route, s segment.Segment, data []byte) {
	l := m.lookups[s.Tuple]
	if l == nil {
		l = m.newLookup(now, s)
	}
	if l == nil {
		return
	}
	l.segment = s
	if len(l.held) < lookupPackets {
		l.held = append(l.held, append([]byte(nil), data...))
	}
	if len(l.replies) == 0 {
		m.widen(now, r, l)
	}
	m.conclude(now, l)
}

// newLookup starts a search, or returns nil when there are too many.
func (m *Model) newLookup(now time.Time, s segment.Segment) *lookup {
	if len(m.lookups) >= maxLookups {
		m.stats.LookupsDropped++
		return nil
	}
	l := &lookup{
		segment: s,
		started: now,
		asked:   now,
		retry:   lookupRetry,
		timeout: lookupTimeout,
		turn:    int(m.stats.Lookups % maxTurn),
	}
	m.lookups[s.Tuple] = l
	m.searching = append(m.searching, l)
	m.stats.Lookups++
	return l
}

// widen asks the agents within the reach of a search that were not asked yet.
func (m *Model) widen(now time.Time, r routing.Route, l *lookup) {
	for _, x := range m.order {
		if l.at(x) == nil && m.within(r, l.reach, x) {
			m.ask(now, x, l)
		}
	}
}

func (m *Model) within(r routing.Route, reach reach, x *member) bool {
	switch reach {
	case reachNear:
		return x.Domain == m.config.Domain && r.Includes(x.Service)
	case reachRoute:
		return r.Includes(x.Service)
	}
	return true
}

func (m *Model) ask(now time.Time, x *member, l *lookup) {
	x.ask(now)
	if l.at(x) == nil {
		l.replies = append(l.replies, answered{
			member: x,
		})
	}
	x.queries = append(x.queries, holder.QueriedFlow{
		Tuple: l.segment.Tuple,
		Ack:   l.segment.Ack,
	})
	m.queued = true
}

// flush sends the collected questions.
func (m *Model) flush() {
	m.queued = false
	for _, x := range m.order {
		for len(x.queries) > 0 {
			n := min(len(x.queries), maxQuery)
			m.emit(QueryEffect{
				To:    x.Address,
				Flows: append([]holder.QueriedFlow(nil), x.queries[:n]...),
			})
			x.queries = x.queries[n:]
		}
		x.queries = nil
	}
}

// answer takes what an agent says about flows.
func (m *Model) answer(now time.Time, x ReplyMsg) {
	from := m.byAddr[x.From]
	if from == nil {
		return
	}
	from.met(now)
	for _, t := range x.Held {
		m.found(now, t, from)
	}
	for _, t := range x.Unheld {
		if l := m.lookups[t]; l != nil {
			m.replied(now, l, from, replyUnheld)
		}
	}
	for _, t := range x.Unsure {
		l := m.lookups[t]
		if l == nil {
			continue
		}
		if a := l.at(from); a != nil && a.reply == replyNone {
			m.replied(now, l, from, replyUnsure)
		}
	}
}

// replied takes what an agent has said about one flow.
func (m *Model) replied(now time.Time, l *lookup, from *member, r reply) {
	a := l.at(from)
	if a == nil {
		l.replies = append(l.replies, answered{
			member: from,
			reply:  r,
		})
	} else {
		a.reply = r
	}
	m.conclude(now, l)
}

// found ends the search for a flow and sends its packets there.
func (m *Model) found(now time.Time, t flow.Tuple, x *member) {
	h := m.hints[t]
	if h == nil {
		h = &hint{}
		m.remember(t, h)
	}
	h.member = x
	h.used = now
	l := m.lookups[t]
	if l == nil {
		return
	}
	delete(m.lookups, t)
	m.stats.LookupsFound++
	h.ack = l.segment.Ack
	h.opened = true
	if a := l.at(x); a != nil && a.reply == replyOffered && len(l.held) > 0 {
		l.held = l.held[1:]
	}
	for _, b := range l.held {
		m.send(x, b, false)
	}
}

// notHeld takes a packet back from an agent whose backend server does not hold
// the flow.
func (m *Model) notHeld(now time.Time, r routing.Route, from *member, x RejectMsg, h *hint) {
	if h != nil {
		// Another agent has said meanwhile that it holds the flow.
		m.send(h.member, x.Data, false)
		return
	}
	l := m.lookups[x.Segment.Tuple]
	if l == nil {
		m.seek(now, r, x.Segment, x.Data)
		l = m.lookups[x.Segment.Tuple]
	}
	if l != nil {
		m.replied(now, l, from, replyUnheld)
	}
}
