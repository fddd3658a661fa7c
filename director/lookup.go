package director

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// lookup is the search for the place of one flow. Its packets wait meanwhile.
type lookup struct {
	segment segment.Segment
	held    [][]byte
	// replies has every agent that was asked, in the order of asking.
	replies []answered
	reach   reach
	started time.Time
	// asked is the latest time of asking, and retry the time until the next.
	asked   time.Time
	retry   time.Duration
	timeout time.Duration
	// offers counts the packets offered to agents that have been there for long.
	offers int
}

// reach is how far a search has come.
type reach uint8

const (
	// reachNear asks the agents of the route's services in the caller's failure
	// domain.
	reachNear reach = iota
	// reachRoute asks the agents of the route's services everywhere.
	reachRoute
	// reachAll asks all agents: an earlier configuration may have named other
	// services.
	reachAll
)

// answered is an agent and what it has said.
type answered struct {
	member *member
	reply  reply
}

// at returns the entry of an agent, or nil if it was not asked.
func (l *lookup) at(x *member) *answered {
	for i := range l.replies {
		if l.replies[i].member == x {
			return &l.replies[i]
		}
	}
	return nil
}

// reply is what an agent has said about a flow.
type reply uint8

const (
	replyNone reply = iota
	// replyUnsure is an agent that does not know all flows of its backend server.
	replyUnsure
	// replyOffered is such an agent that was handed a packet and has not returned
	// it.
	replyOffered
	// replyUnheld is an agent whose backend server does not hold the flow.
	replyUnheld
)

const (
	// lookupRetry is the time after which a question is repeated: several round
	// trips between failure domains. It doubles, so that searches for the flows
	// of a whole region do not fill thin links.
	lookupRetry = 60 * time.Millisecond
	// lookupTimeout gives a search up; the caller's next packet starts another.
	lookupTimeout = 1200 * time.Millisecond
	// recentLife is the time after the start of an agent, less than the 4 s of the
	// users' rules, in which it does not know
	// its flows through no plan of anyone's; a search may offer packets to any
	// number of such agents. Of others, maxOffers get a packet: a third that is
	// wrong within offerTimeout could lead a live flow astray.
	recentLife   = 3500 * time.Millisecond
	maxOffers    = 2
	offerTimeout = 2100 * time.Millisecond
	// lookupPackets bounds the packets that wait for one search.
	lookupPackets = 4
	// maxLookups bounds the searches at a time.
	maxLookups = 20_000
	// listPause is the least time between two lists of all agents.
	listPause = 150 * time.Millisecond
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
		m.widen(r, l)
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
	}
	m.lookups[s.Tuple] = l
	m.searching = append(m.searching, l)
	m.stats.Lookups++
	return l
}

// widen asks the agents within the reach of a search that were not asked yet.
func (m *Model) widen(r routing.Route, l *lookup) {
	for _, x := range m.order {
		if l.at(x) == nil && m.within(r, l.reach, x) {
			m.ask(x, l)
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

func (m *Model) ask(x *member, l *lookup) {
	if l.at(x) == nil {
		l.replies = append(l.replies, answered{
			member: x,
		})
	}
	x.queries = append(x.queries, holder.Probe{
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
				Flows: append([]holder.Probe(nil), x.queries[:n]...),
			})
			x.queries = x.queries[n:]
		}
		x.queries = nil
	}
}

// maxQuery keeps a query within one datagram.
const maxQuery = 40

// answer takes what an agent says about flows.
func (m *Model) answer(now time.Time, x AnswerMsg) {
	from := m.byAddr[x.From]
	if from == nil {
		return
	}
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
	m.stats.Found++
	h.ack = l.segment.Ack
	h.opened = true
	if a := l.at(x); a != nil && a.reply == replyOffered && len(l.held) > 0 {
		l.held = l.held[1:]
	}
	for _, b := range l.held {
		m.send(x, b, false)
	}
}

// offer hands a packet to the agents that do not know all flows of their backend
// servers, once nobody else can hold the flow.
func (m *Model) offer(now time.Time, l *lookup) {
	if len(l.held) == 0 {
		// A search without a packet leaves the flow to its caller's next one.
		delete(m.lookups, l.segment.Tuple)
		return
	}
	for i := range l.replies {
		a := &l.replies[i]
		x := a.member
		if a.reply != replyUnsure {
			continue
		}
		if now.Sub(x.since) > recentLife {
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

// conclude moves a search on once all that were asked have answered. A flow is
// reset only when no agent of a list that was read after its packet holds it, but
// for those that are gone.
func (m *Model) conclude(now time.Time, l *lookup) {
	for !m.waits(now, l) && l.reach < reachAll {
		l.reach++
		m.widen(m.declared.Routes[routing.Of(l.segment.Tuple)], l)
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
	m.stats.Unheld++
	m.reset(l.segment, CauseNotHeld, len(l.replies))
}

// waits reports whether an answer is still to be expected. An agent that is not
// heard does not keep a search from going further, once it was asked twice.
func (m *Model) waits(now time.Time, l *lookup) bool {
	patient := now.Sub(l.started) <= lookupRetry
	for _, a := range l.replies {
		if a.reply == replyNone && (patient || a.member.silence(now) < heardLimit) {
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

func (l *lookup) count(x reply) int {
	n := 0
	for _, a := range l.replies {
		if a.reply == x {
			n++
		}
	}
	return n
}

// wantList asks for a fresh list of agents, at most every listPause.
func (m *Model) wantList(now time.Time) {
	if now.Sub(m.listAsked) < listPause {
		return
	}
	m.listAsked = now
	m.stats.Lists++
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
			m.ask(a.member, l)
		}
	}
	m.conclude(now, l)
}

// noteTimeout names an agent that has not answered.
func (m *Model) noteTimeout(l *lookup) {
	n := NoteEffect{
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
