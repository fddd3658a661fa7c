package holder

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
)

// serviceTimes learns how much work the requests of each route are for the backend server,
// and knows the requests that it has. It answers requests of different cost and backend
// servers of different speed, which look alike in the number of requests in flight.
type serviceTimes struct {
	table *cost.Table
	// running has the requests at the backend server without a response, in the order of
	// their start.
	running []runningRequest
	// answered has the requests whose response has begun and that are not observed yet, in
	// the order of their responses.
	answered []answeredRequest
}

// runningRequest is a request at the backend server without a response.
type runningRequest struct {
	entry *entry
	route routing.Address
	// begunAt is when a slot was free for it; zero while none is.
	begunAt time.Time
	// lostAfter is the time from begunAt after which its response is taken for lost.
	lostAfter time.Duration
	// measured is set if it is known when a slot was free for it, so that its time from then on
	// is work and not waiting.
	measured bool
}

// answeredRequest is a measured request whose response has begun.
type answeredRequest struct {
	entry *entry
	// number is the position of the request in its flow.
	number uint32
	route  routing.Address
	at     time.Time
	work   time.Duration
}

const (
	// maxReportedRoutes bounds the routes in a report.
	maxReportedRoutes = 8
	// observeDelay is the time from the first payload of a response after which it is
	// observed if the flow sends no further request: the agent has seen the whole response
	// by then. A flow may pause for much longer than within which a slow backend server must
	// be detected.
	observeDelay = 100 * time.Millisecond
)

func newServiceTimes() serviceTimes {
	return serviceTimes{
		table: cost.NewTable(),
	}
}

func (m *Model) costRequestStarted(now time.Time, t flow.Tuple, e *entry) {
	c := &m.serviceTimes
	route := routing.AddressOf(t)
	e.requests++
	c.table.ObserveRequest(now, route, e.requests == 1)
	c.running = append(c.running, runningRequest{
		entry: e,
		route: route,
	})
	m.assignSlots(now)
}

func (m *Model) costResponseStarted(now time.Time, e *entry) {
	c := &m.serviceTimes
	r, ok := c.remove(e)
	if ok && r.measured {
		c.answered = append(c.answered, answeredRequest{
			entry:  e,
			number: e.requests,
			route:  r.route,
			at:     now,
			work:   now.Sub(r.begunAt),
		})
	}
	m.assignSlots(now)
}

func (m *Model) costRequestFinished(now time.Time, e *entry, end requestEnd) {
	c := &m.serviceTimes
	if end == endResponse {
		for i, a := range c.answered {
			if a.entry == e && a.number == e.requests {
				c.answered = slices.Delete(c.answered, i, i+1)
				m.observe(now, a)
				return
			}
		}
		return
	}
	r, ok := c.remove(e)
	if ok && end == endAbandoned && r.measured && !r.lost(now) {
		c.table.ObserveUnfinished(now, r.route, now.Sub(r.begunAt))
	}
	m.assignSlots(now)
}

// tickServiceTimes observes the responses that have been complete for some time.
func (m *Model) tickServiceTimes(now time.Time) {
	if !m.config.LoadAware {
		return
	}
	c := &m.serviceTimes
	c.table.Advance(now)
	n := 0
	for ; n < len(c.answered) && now.Sub(c.answered[n].at) >= observeDelay; n++ {
		m.observe(now, c.answered[n])
	}
	c.answered = slices.Delete(c.answered, 0, n)
}

// observe adds a request to what is known of its route, unless it failed: a backend server that
// fails fast would look fast.
func (m *Model) observe(now time.Time, a answeredRequest) {
	if m.responseFailed(a.entry) {
		return
	}
	m.serviceTimes.table.Observe(now, a.route, a.work)
}

// discardServiceTimes makes no observation of the present requests: this process was paused,
// so their times are not known.
func (m *Model) discardServiceTimes() {
	c := &m.serviceTimes
	for i := range c.running {
		c.running[i].measured = false
	}
	clear(c.answered)
	c.answered = c.answered[:0]
}

// remove removes a running request, and returns false if there is none.
func (c *serviceTimes) remove(e *entry) (runningRequest, bool) {
	for i, r := range c.running {
		if r.entry == e {
			c.running = slices.Delete(c.running, i, i+1)
			return r, true
		}
	}
	return runningRequest{}, false
}

// assignSlots records which requests have begun to be processed: the backend server takes them
// in the order of arrival. Requests whose response is lost hold no slot. Without known slots,
// all requests have begun.
func (m *Model) assignSlots(now time.Time) {
	c := &m.serviceTimes
	free := int(m.server.slots)
	lost := false
	for i := range c.running {
		r := &c.running[i]
		if !r.begunAt.IsZero() && r.lost(now) {
			lost = true
			continue
		}
		free--
		if !r.begunAt.IsZero() {
			continue
		}
		if free < 0 && m.server.slots > 0 {
			return
		}
		r.begunAt = now
		r.lostAfter = c.table.LostAfter(r.route)
		// A request that is taken for lost may still hold a slot.
		r.measured = !lost && (m.server.slots > 0 || len(c.running) == 1)
	}
}

// lost reports whether a request has run for so long that its response is probably lost.
func (r *runningRequest) lost(now time.Time) bool {
	return now.Sub(r.begunAt) > r.lostAfter
}

// serverLoad returns the work that the backend server still has to do. A request that has run
// for very long counts as one that has just begun: its expected rest would be large although its
// response is probably lost, and a backend server that does not respond must not look idle.
func (m *Model) serverLoad(now time.Time) cost.Load {
	if !m.config.LoadAware {
		return cost.Load{}
	}
	m.assignSlots(now)
	c := &m.serviceTimes
	l := cost.Load{
		Queued: m.workAhead(now),
		Routes: c.table.Costs(maxReportedRoutes),
	}
	for i := range l.Routes {
		r := &l.Routes[i]
		r.ResponseBytes = m.outcomes.baselines.Bytes(r.Route)
	}
	for i := range c.running {
		r := &c.running[i]
		elapsed := time.Duration(0)
		if !r.begunAt.IsZero() {
			if r.lost(now) {
				l.Running++
				l.Rest += c.table.Mean(r.route)
				continue
			}
			elapsed = now.Sub(r.begunAt)
		}
		l.Running++
		l.Rest += c.table.Rest(r.route, elapsed)
	}
	return l
}
