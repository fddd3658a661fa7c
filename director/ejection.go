package director

import (
	"math"
	"time"

	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/placement"
)

// ejection has the targets that get no new flows because their backend servers fail requests.
// It answers a server that fails fast and so attracts flows: its agent reports the share of
// requests that failed, and package outlier decides over all targets of a service. The choice
// of a target for one flow only reads member.ejected.
type ejection struct {
	// failing has the number of failing targets of each service that had any lately.
	failing map[string]int
	// servers is scratch space of updateEjected, and skipped are the targets that the latest
	// choice left out for the present flow.
	servers []outlier.Server
	skipped []*member
}

// shareSteps rounds the shares by which failing targets are compared. Exact ones differ a little
// at each report, and the ejected targets would change several times a second.
const shareSteps = 10

// probeSalt makes the choice of the flows that probe ejected targets independent of the draw
// in package placement, which would otherwise send a target those for which it is drawn anyway.
const probeSalt = 0x9e3779b97f4a7c15

// ejected reports whether a target gets no new flow with this seed because its backend server
// fails requests.
func (m *Model) ejected(now time.Time, agent *member, seed uint64) bool {
	return agent.ejected && agent.reportsFailures(now) && !outlier.Probes(placement.Rank(seed^probeSalt, agent.key))
}

// reportsFailures reports whether the latest report of a failing target is so recent that it may
// still be failing. Balancers that open few flows have no later one.
func (m *member) reportsFailures(now time.Time) bool {
	return m.failing && now.Sub(m.lastLoad) < outlier.ReturnTimeout
}

// updateFailing applies the failure share of a report that has just come.
func (m *Model) updateFailing(now time.Time, agent *member) {
	if !m.config.LoadAware {
		return
	}
	before := agent.failing
	agent.failing = agent.report.Failures.Failing(before)
	if agent.failing {
		agent.worstShare = max(agent.worstShare, agent.report.Failures.Share)
	} else {
		agent.worstShare = 0
	}
	if before || agent.failing || m.ejection.failing[agent.Service] > 0 {
		m.updateEjected(now, agent.Service)
	}
}

// tickEjection applies what has changed without a report, such as the age of the latest one.
func (m *Model) tickEjection(now time.Time) {
	for service := range m.ejection.failing {
		m.updateEjected(now, service)
	}
}

// updateEjected chooses the ejected targets of a service anew. Those that get no flows for
// another reason do not count, as at most a part of the others may be ejected.
func (m *Model) updateEjected(now time.Time, service string) {
	members := m.membersByService[service]
	l := m.ejection.servers[:0]
	failing := 0
	for i, agent := range members {
		if m.outOfService[agent.Domain] || !agent.acceptsFlows() {
			continue
		}
		s := outlier.Server{
			Index:   i,
			Name:    agent.Name,
			Share:   math.Floor(agent.worstShare*shareSteps) / shareSteps,
			Failing: agent.reportsFailures(now),
		}
		if s.Failing {
			failing++
		}
		l = append(l, s)
	}
	m.ejection.servers = l
	ejected := outlier.Eject(l)
	for i, agent := range members {
		m.setEjected(agent, isEjected(ejected, i))
	}
	if failing > 0 {
		if m.ejection.failing == nil {
			m.ejection.failing = map[string]int{}
		}
		m.ejection.failing[service] = failing
	} else {
		delete(m.ejection.failing, service)
	}
}

func isEjected(l []outlier.Server, index int) bool {
	for _, s := range l {
		if s.Index == index {
			return true
		}
	}
	return false
}

func (m *Model) setEjected(agent *member, ejected bool) {
	if agent.ejected == ejected {
		return
	}
	agent.ejected = ejected
	event := "target is ejected, because its backend server fails requests; it gets only probe traffic"
	if !ejected {
		event = "target is no longer ejected"
	}
	m.emit(LogEffect{
		Event:  event,
		Member: agent.Name,
		Count:  agent.report.Failures.Percent(),
	})
}

// readmitEjected makes ejected targets candidates again if no other one is left that sends
// reports when it should: a flow is rather sent to a failing backend server than refused.
func (m *Model) readmitEjected(now time.Time) {
	if len(m.ejection.skipped) == 0 {
		return
	}
	for _, agent := range m.candidateMembers {
		if agent.silence(now) < silenceTimeout {
			return
		}
	}
	for _, agent := range m.ejection.skipped {
		m.addCandidate(now, agent)
	}
}

// subscribeToEjected keeps this balancer subscribed to the targets that it has just left out, so
// that it learns at once when they have recovered. Agents to which it sends flows subscribe it.
func (m *Model) subscribeToEjected(now time.Time, crowded bool) {
	for _, agent := range m.ejection.skipped {
		near := agent.Domain == m.config.Domain
		if (near || crowded) && agent.loadUntil.Sub(now) < renewLead {
			m.requestReport(now, agent)
		}
	}
}

// ejectedMembers returns the number of targets that are ejected.
func (m *Model) ejectedMembers() int {
	n := 0
	for _, agent := range m.sortedMembers {
		if agent.ejected {
			n++
		}
	}
	return n
}
