package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// schedule decides when the requests of callers go to the backend server. It answers bursts of
// requests on flows that are already open, which no admission of new flows can limit: the
// backend server processes them in order of arrival and sheds what exceeds its own queue, so
// requests wait here and start by urgency once it has fewer than its slots and Config.Ahead.
type schedule struct {
	queue   *queue.Queue
	running running
	// closed is set once the agent is stopping: nothing waits from then on.
	closed bool
	// fullLoggedAt is when it was last logged that the queue is full.
	fullLoggedAt time.Time
	// work and ahead are the memory of the results of queuedWork and workAhead.
	work  []cost.PriorityWork
	ahead []cost.PriorityWork
}

const (
	// defaultObjective is the objective of requests whose route has none.
	defaultObjective = time.Second
	// deadlineMargin is the part of an objective that the way to the caller and back takes.
	deadlineMargin = 10 * time.Millisecond
	// fullLogInterval is the least time between two log lines about a full queue.
	fullLogInterval = 10 * time.Second
)

// queueing reports whether requests may wait here. A backend server that is draining may exit
// once it has no request, so none is kept from it.
func (m *Model) queueing() bool {
	return m.config.LoadAware && m.server.slots > 0 && !m.schedule.closed && !m.server.draining
}

// serverTakesMore reports whether the backend server should get another request: it has a slot
// for it, or fewer than Config.Ahead requests that wait for one.
func (m *Model) serverTakesMore(now time.Time) bool {
	return m.load.inFlight-m.schedule.running.updateOverdue(now) < int(m.server.slots)+m.config.Ahead
}

// hold adds a caller's packet to the queue if it has to wait, and reports whether it does. A
// packet that repeats one that waits is dropped, and counts as waiting.
func (m *Model) hold(now time.Time, e *entry, packet DeliverMsg) bool {
	s := packet.Segment
	if e.waiting != nil {
		return m.holdMore(now, e, packet)
	}
	if !m.queueing() || e.state != entryOpen || s.Length == 0 || s.Flags&(segment.Rst|segment.Syn) != 0 {
		return false
	}
	if e.requestPending() || m.repeatsAnswered(e, s) {
		return false
	}
	return m.holdRequest(now, e, packet)
}

// holdRequest adds a request to the queue, unless it may start at once or does not fit.
func (m *Model) holdRequest(now time.Time, e *entry, packet DeliverMsg) bool {
	q := m.schedule.queue
	if q.Len() == 0 && m.serverTakesMore(now) {
		return false
	}
	startBy := e.lastPacket.Add(m.declared.IdleTimeout - idleMargin)
	if !startBy.After(now) {
		// The backend server may discard the flow because of its silence while it waits.
		return false
	}
	if !q.Fits(len(packet.Data)) {
		// Running requests may have become overdue since the latest message.
		m.startHeld(now)
	}
	route := routing.AddressOf(packet.Segment.Tuple)
	sentAt := now.Add(-e.firstRequestAge())
	r, ok := q.Add(now, queue.Arrival{
		Flow:     packet.Segment.Tuple,
		Priority: e.class.Priority,
		Deadline: sentAt.Add(m.scheduledObjective(e, route)),
		GiveUpAt: sentAt.Add(orDefault(e.class.Timeout, requestTimeout)),
		StartBy:  startBy,
		Work:     m.expectedWork(route),
	}, queuePacket(packet))
	if !ok {
		m.countFull(now, e.class.Priority)
		return false
	}
	e.waiting = r
	return true
}

// scheduledObjective returns the time from a request until its response should begin. It answers
// queues in which all requests start just before their deadline: with the mean work alone, half of
// them would end after it. So nine of ten must end in time for a request to count as on time.
func (m *Model) scheduledObjective(e *entry, route routing.Address) time.Duration {
	objective := orDefault(e.class.Objective, defaultObjective)
	t := m.serviceTimes.table
	margin := deadlineMargin + max(0, t.P90(route)-t.Mean(route))
	return objective - min(margin, objective/2)
}

// firstRequestAge returns how long the caller had waited when the flow was admitted, if its first
// request is still to come. It answers a restart of everything: callers that have waited through it
// are late in any case, and others can still be served in time.
func (e *entry) firstRequestAge() time.Duration {
	if e.requests > 0 {
		return 0
	}
	return e.openedAge
}

func orDefault(d, other time.Duration) time.Duration {
	if d <= 0 {
		return other
	}
	return d
}

func queuePacket(packet DeliverMsg) queue.Packet {
	return queue.Packet{
		From:    packet.From,
		Segment: packet.Segment,
		Data:    packet.Data,
	}
}

// holdMore handles a later packet of a flow whose request waits. If it does not fit, the whole
// request goes to the backend server before it.
func (m *Model) holdMore(now time.Time, e *entry, packet DeliverMsg) bool {
	s := packet.Segment
	switch {
	case s.Has(segment.Rst):
		m.dropHeld(e)
		return false
	case s.Length == 0 && !s.Has(segment.Fin), m.repeatsAnswered(e, s):
		return false
	case m.schedule.queue.Append(e.waiting, queuePacket(packet)) != queue.Full:
		return true
	}
	r := e.waiting
	m.countFull(now, r.Priority)
	m.schedule.queue.Remove(r)
	m.startRequest(now, r)
	return false
}

// countFull counts a request that does not wait because the queue is full.
func (m *Model) countFull(now time.Time, p routing.Priority) {
	m.stats.Queue[queueClass(p)].Full++
	s := &m.schedule
	if !s.fullLoggedAt.IsZero() && now.Sub(s.fullLoggedAt) < fullLogInterval {
		return
	}
	s.fullLoggedAt = now
	m.emit(LogEffect{
		Event: "queue of requests is full; further requests go to the backend server directly",
		Count: s.queue.Len(),
	})
}

// startHeld passes waiting requests to the backend server while it takes more, and all of them
// when requests may no longer wait. It drops those whose callers have given up. Update
// calls it last, so that it does not see a flow that is being removed.
func (m *Model) startHeld(now time.Time) {
	q := m.schedule.queue
	for r := q.Due(now); r != nil; r = q.Due(now) {
		if r.GivenUp(now) {
			m.flows[r.Flow].waiting = nil
			m.stats.Queue[queueClass(r.Priority)].Expired++
			continue
		}
		m.startRequest(now, r)
	}
	for q.Len() > 0 && (!m.queueing() || m.serverTakesMore(now)) {
		m.startRequest(now, q.Next(now))
	}
}

// startRequest passes the packets of a request that has left the queue to the backend server.
func (m *Model) startRequest(now time.Time, r *queue.Request) {
	e := m.flows[r.Flow]
	e.waiting = nil
	// The process may have been paused, or the idle timeout lowered, while the request waited.
	e.wasIdle = m.isIdle(now, e)
	m.stats.Queue[queueClass(r.Priority)].Waits[latencyBucket(now.Sub(r.ArrivedAt))]++
	for p := range r.Packets() {
		m.passOn(now, e, DeliverMsg{
			From:    p.From,
			Service: m.config.Service,
			Class:   e.class,
			Segment: p.Segment,
			Data:    p.Data,
		})
	}
}

// dropHeld removes the waiting request of a flow, if there is one.
func (m *Model) dropHeld(e *entry) {
	if e.waiting != nil {
		m.schedule.queue.Remove(e.waiting)
		e.waiting = nil
	}
}

// closeQueue passes all waiting requests to the backend server, and lets none wait from now on.
func (m *Model) closeQueue(now time.Time) {
	m.schedule.closed = true
	m.startHeld(now)
}

// workAhead returns the expected work of the waiting requests that goes before new ones, by
// their priority, the most urgent first. The result is valid until the next call.
func (m *Model) workAhead(now time.Time) []cost.PriorityWork {
	m.schedule.ahead = m.schedule.queue.AppendAhead(now, m.schedule.ahead[:0])
	return m.schedule.ahead
}

// queuedWork returns the expected work of the waiting requests by priority, the most urgent
// first. The result is valid until the next call.
func (m *Model) queuedWork() []cost.PriorityWork {
	m.schedule.work = m.schedule.queue.AppendWork(m.schedule.work[:0])
	return m.schedule.work
}

// expectedWork returns the time that the backend server is expected to need for a request of
// a route.
func (m *Model) expectedWork(route routing.Address) time.Duration {
	return m.serviceTimes.table.Mean(route)
}
