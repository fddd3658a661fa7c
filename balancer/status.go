package balancer

import (
	"maps"
	"slices"

	"github.com/lentilshed/lentilshed/controlpb"
	"google.golang.org/protobuf/proto"
)

// sendStatus answers a status request of lentilctl with the state of this
// balancer and of the agents that send their heartbeats to it.
func (m *Model) sendStatus(to ConnID) {
	s := &controlpb.Status{
		Registrar:      m.heartbeat.GetHolder(),
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
		Members:        m.roster.Members(),
	}
	s.Instances = append(s.Instances, &controlpb.Instance{
		Name:           m.config.Name,
		Role:           roleBalancer,
		Domain:         m.config.Domain,
		ControlAddress: m.config.ControlAddress,
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
	})
	for _, n := range slices.Sorted(maps.Keys(m.agents)) {
		a := m.agents[n]
		s.Instances = append(s.Instances, &controlpb.Instance{
			Name:           n,
			Role:           roleAgent,
			Domain:         a.member.GetDomain(),
			Service:        a.member.GetService(),
			ControlAddress: a.member.GetControlAddress(),
			IntentRevision: a.intentRevision,
			RosterVersion:  a.rosterVersion,
			Vitals:         proto.CloneOf(a.vitals),
			State:          a.member.GetState(),
		})
	}
	m.send(to, &controlpb.Envelope{
		Body: &controlpb.Envelope_Status{
			Status: s,
		},
	})
}
