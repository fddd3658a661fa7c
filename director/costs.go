package director

import (
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/cost"
)

// serviceTable has the costs of one service's routes over all of its targets.
type serviceTable struct {
	costs    []cost.RouteCost
	mergedAt time.Time
}

const (
	// maxServiceRoutes bounds the routes in a report request.
	maxServiceRoutes = 8
	// mergeInterval is the time between two merges of the reports of a service: a merge of
	// 136 reports must not come with each report request.
	mergeInterval = time.Second
	// reportHalfLife is the half-life of a report's weight in a merge, that of the agents'
	// own observations.
	reportHalfLife = 10 * time.Second
	// maxMergedAge is the age above which a report is left out of merges.
	maxMergedAge = time.Minute
	// costsInterval is the time after which an agent is sent the costs again; one datagram may
	// be lost, and costs of a service change slowly.
	costsInterval = 4 * time.Second
)

// serviceCosts returns the costs of a service's routes over all of its targets, for a target
// of mean speed: nil before the first reports. While none is new enough, it returns the
// latest ones, so that a service that was idle does not lose them.
func (m *Model) serviceCosts(now time.Time, service string) []cost.RouteCost {
	if !m.config.LoadAware {
		return nil
	}
	s := m.costTables[service]
	if !s.mergedAt.IsZero() && now.Sub(s.mergedAt) < mergeInterval {
		return s.costs
	}
	if m.costMerger == nil {
		m.costMerger = cost.NewMerger()
		m.costTables = map[string]serviceTable{}
	}
	for _, agent := range m.membersByService[service] {
		age := now.Sub(agent.lastLoad)
		if !agent.lastLoad.IsZero() && age <= maxMergedAge {
			m.costMerger.Add(agent.report.Load.Routes, math.Exp2(-float64(age)/float64(reportHalfLife)))
		}
	}
	if l := m.costMerger.Take(maxServiceRoutes); len(l) > 0 {
		keepLengths(l, s.costs)
		s.costs = l
	}
	s.mergedAt = now
	m.costTables[service] = s
	return s.costs
}

// costsFor returns the service-wide costs to send an agent along with a report request: nil if
// this incarnation of it was sent some lately.
func (m *Model) costsFor(now time.Time, agent *member) []cost.RouteCost {
	lately := agent.costsSentTo == agent.Incarnation && now.Sub(agent.costsSentAt) < costsInterval
	if lately && !m.needsLengths(now, agent) {
		return nil
	}
	l := m.serviceCosts(now, agent.Service)
	if len(l) > 0 {
		agent.costsSentTo = agent.Incarnation
		agent.costsSentAt = now
	}
	if hasLength(l) {
		agent.lengthsSentTo = agent.incarnations()
	}
	return l
}

// incarnations are those of an agent and of the backend server beside it.
type incarnations struct {
	agent   uint64
	backend uint64
}

func (m *member) incarnations() incarnations {
	return incarnations{
		agent:   m.Incarnation,
		backend: m.backendIncarnation,
	}
}

// sendLengths sends an agent the service-wide costs once for each incarnation, if it reports to
// this balancer and so has flows of it. While flows are opened at an agent, its reports come
// without a request, so it would not get costs along with one.
func (m *Model) sendLengths(now time.Time, agent *member) {
	if now.Before(agent.subscribedUntil) && m.needsLengths(now, agent) {
		m.requestReport(now, agent)
	}
}

// needsLengths reports whether the length of usual responses is known and was not sent to the
// present incarnations.
func (m *Model) needsLengths(now time.Time, agent *member) bool {
	return agent.lengthsSentTo != agent.incarnations() && hasLength(m.serviceCosts(now, agent.Service))
}

func hasLength(l []cost.RouteCost) bool {
	return slices.ContainsFunc(l, func(c cost.RouteCost) bool { return c.ResponseBytes > 0 })
}

// keepLengths takes over the earlier length of the responses of routes for which too few agents
// report one, such as while most of the backend servers have just been replaced.
func keepLengths(l, earlier []cost.RouteCost) {
	for i := range l {
		for _, c := range earlier {
			if c.Route == l[i].Route && l[i].ResponseBytes == 0 {
				l[i].ResponseBytes = c.ResponseBytes
			}
		}
	}
}
