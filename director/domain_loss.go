package director

import (
	"time"

	"github.com/lentilshed/lentilshed/holder"
)

// domainLoss recognises a failure domain of which nothing is received any more. It answers
// the load after the loss of a domain: its callers come through balancers of other domains
// with thousands of flows of silent agents. A single silent agent may be restarting, and its
// flows stay open; it counts as lost after lostTimeout only. Many agents of a domain that fall
// silent together, none of which was asked to stop, have lost their power or their network.
type domainLoss struct {
	// lost has the domains that count as lost, and since when.
	lost map[string]time.Time
	// seen has the domains of all agents.
	seen map[string]*domainSilence
	// tickedAt is when the latest tick was.
	tickedAt time.Time
}

// domainSilence is what a balancer has received from one domain lately.
type domainSilence struct {
	// received is the number of agents that have sent something within domainLossTimeout, and
	// receivedNow of those that have within silenceTimeout.
	received    int
	receivedNow int
	// silent is the number of agents that should have sent something for domainLossTimeout,
	// have not, and were not asked to stop.
	silent int
	// waiting is the number of agents from which something is expected, and unanswered that of
	// those that should have sent something for replyTimeout.
	waiting    int
	unanswered int
	// agents is the number of agents that were not asked to stop.
	agents int
	// known is set once something was received from the domain. Agents that were asked to stop
	// before this process started cannot be distinguished from others.
	known bool
	// othersSince is since when enough agents of other domains are received all the time; zero
	// is not at present.
	othersSince time.Time
}

const (
	// domainLossTimeout is the silence of a whole domain after which it counts as lost: more
	// than twice the time between two reports.
	domainLossTimeout = 1200 * time.Millisecond
	// minSilentAgents is the number of silent agents from which on a domain may count as
	// lost. Fewer may be restarting at the same time without having said so.
	minSilentAgents = 4
	// maxAskedAgents is the number of agents of a silent domain that are asked before it counts
	// as lost. The balancer may expect something of just those that are restarting.
	maxAskedAgents = 12
	// maxTickGap is the time between two ticks above which this process was held up, and may
	// have datagrams that it has not read.
	maxTickGap = 250 * time.Millisecond
)

// tickDomainLoss updates which failure domains count as lost, and requests reports from
// domains that are silent, so that there are enough agents to decide.
func (m *Model) tickDomainLoss(now time.Time) {
	d := &m.domainLoss
	d.listen(now, m.sortedMembers)
	d.checkOthers(now)
	for domain, s := range d.seen {
		_, lost := d.lost[domain]
		switch {
		case domain == m.config.Domain:
		case lost && s.received > 0:
			delete(d.lost, domain)
			m.emit(LogEffect{
				Event:  "agents of the failure domain are received again",
				Member: domain,
			})
		case !lost && s.allSilent(now):
			d.lost[domain] = now
			m.emit(LogEffect{
				Event:  "failure domain is lost: all of its agents are silent; its flows are reset",
				Member: domain,
				Count:  s.silent,
			})
		case s.receivedNow == 0 && s.waiting > 0 && s.waiting < maxAskedAgents:
			// A few at each tick, as the reply of one is enough.
			m.requestFrom(now, domain, min(minSilentAgents, maxAskedAgents-s.waiting))
		}
	}
}

// listen counts for each domain from which of its agents something was received.
func (d *domainLoss) listen(now time.Time, members []*member) {
	if d.seen == nil {
		d.seen = map[string]*domainSilence{}
		d.lost = map[string]time.Time{}
	}
	for _, s := range d.seen {
		*s = domainSilence{
			known:       s.known,
			othersSince: s.othersSince,
		}
	}
	for _, agent := range members {
		s := d.seen[agent.Domain]
		if s == nil {
			s = &domainSilence{}
			d.seen[agent.Domain] = s
		}
		s.add(now, agent)
	}
}

func (s *domainSilence) add(now time.Time, agent *member) {
	if !agent.lastReceived.IsZero() {
		s.known = true
		if now.Sub(agent.lastReceived) < domainLossTimeout {
			s.received++
		}
		if now.Sub(agent.lastReceived) < silenceTimeout {
			s.receivedNow++
		}
	}
	if agent.stopping() {
		return
	}
	s.agents++
	silence := agent.silence(now)
	if silence == 0 {
		return
	}
	s.waiting++
	if silence >= replyTimeout {
		s.unanswered++
	}
	if silence >= domainLossTimeout {
		s.silent++
	}
}

// stopping reports whether the agent was asked to stop, so that its silence is planned.
func (m *member) stopping() bool {
	return m.report.Stopping || m.report.Availability == holder.AvailabilityEnded
}

// allSilent reports whether nothing is received from the domain any more, although enough of its
// agents were asked, and this balancer was not cut off at any time since.
func (s *domainSilence) allSilent(now time.Time) bool {
	received := !s.known || s.received > 0
	receivesOthers := !s.othersSince.IsZero() && now.Sub(s.othersSince) >= domainLossTimeout
	return !received && receivesOthers && s.silent >= minSilentAgents && s.unanswered >= min(s.agents, maxAskedAgents)
}

// checkOthers updates since when the agents of other domains are received. After this balancer
// was held up or cut off, reports of some domains come up to a report interval before those of
// others.
func (d *domainLoss) checkOthers(now time.Time) {
	paused := now.Sub(d.tickedAt) > maxTickGap
	d.tickedAt = now
	for domain, s := range d.seen {
		switch {
		case !d.othersReceived(domain):
			s.othersSince = time.Time{}
		case paused || s.othersSince.IsZero():
			s.othersSince = now
		}
	}
}

// othersReceived reports whether enough agents of other domains are received: otherwise this
// balancer is cut off itself.
func (d *domainLoss) othersReceived(domain string) bool {
	n := 0
	for other, s := range d.seen {
		if other != domain {
			n += s.receivedNow
		}
	}
	return n >= minSilentAgents
}

// requestFrom requests the reports of up to n agents of a domain from which nothing is
// expected.
func (m *Model) requestFrom(now time.Time, domain string, n int) {
	for _, agent := range m.sortedMembers {
		if n == 0 {
			return
		}
		if agent.Domain == domain && agent.silence(now) == 0 && !agent.stopping() {
			m.requestState(now, agent)
			n--
		}
	}
}

// isLost reports whether an agent's failure domain is lost, and the agent was not asked to
// stop before.
func (m *Model) isLost(agent *member) bool {
	_, lost := m.domainLoss.lost[agent.Domain]
	return lost && !agent.stopping()
}
