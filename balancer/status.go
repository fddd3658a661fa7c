package balancer

import (
	"maps"
	"slices"

	"github.com/lentilshed/lentilshed/controlpb"
	"google.golang.org/protobuf/proto"
)

// status answers lentilctl with this balancer and the agents it hears.
func (m *Model) status(to ConnID) {
	s := &controlpb.Status{
		Registrar:      m.beat.GetHolder(),
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
	for _, n := range slices.Sorted(maps.Keys(m.listeners)) {
		l := m.listeners[n]
		s.Instances = append(s.Instances, &controlpb.Instance{
			Name:           n,
			Role:           roleAgent,
			Domain:         l.member.GetDomain(),
			Service:        l.member.GetService(),
			ControlAddress: l.member.GetControlAddress(),
			IntentRevision: l.revision,
			RosterVersion:  l.version,
			Vitals:         proto.CloneOf(l.vitals),
			State:          l.member.GetState(),
		})
	}
	m.send(to, &controlpb.Envelope{
		Body: &controlpb.Envelope_Status{
			Status: s,
		},
	})
}
