package service

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/target"
)

// BuildTable returns the routing table of a declared service, or nil when the
// service is unknown, deleted or has an invalid address.
func BuildTable(name string, d *intent.Document, r *roster.Roster) *Table {
	s := d.Services[name]
	if s == nil || s.GetDeleted() {
		return nil
	}
	a, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		return nil
	}
	v := Vector{
		Intent: s.GetRevision(),
		Roster: uint64(r.TermStart()),
	}
	var targets []Target
	for _, m := range r.Service(name) {
		v.Roster = max(v.Roster, m.GetVersion())
		v.Intent = max(v.Intent, d.Domains[m.GetDomain()].GetRevision(), d.Targets[m.GetTarget()].GetRevision())
		if m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
			continue
		}
		if t, ok := buildTarget(s, m, d); ok {
			targets = append(targets, t)
		}
	}
	for id, left := range r.Departures(name) {
		v.Roster = max(v.Roster, left.GetVersion())
		v.Intent = max(v.Intent, d.Domains[left.GetDomain()].GetRevision(), d.Targets[id].GetRevision())
	}
	return NewTable(name, s.GetId(), a, v, targets)
}

func buildTarget(s *controlpb.Service, m *controlpb.Member, d *intent.Document) (Target, bool) {
	a, err := netip.ParseAddrPort(m.GetPacketAddress())
	if err != nil {
		return Target{}, false
	}
	drained := d.Targets[m.GetTarget()].GetDraining()
	joined := m.GetState() == controlpb.MemberState_MEMBER_STATE_JOINED
	return Target{
		ID:             target.ID(m.GetTarget()),
		Incarnation:    target.Incarnation(m.GetIncarnation()),
		Domain:         m.GetDomain(),
		PacketAddress:  a,
		ControlAddress: m.GetControlAddress(),
		Weight:         m.GetWeight(),
		HomeEligible:   joined && !drained && allowsDomain(s, m.GetDomain()),
		Suspect:        m.GetState() == controlpb.MemberState_MEMBER_STATE_SUSPECT,
		OutOfService:   d.OutOfService(m.GetDomain()),
	}, true
}

// allowsDomain reports whether a service may use a failure domain.
func allowsDomain(s *controlpb.Service, domain string) bool {
	if len(s.GetDomains()) == 0 {
		return true
	}
	for _, x := range s.GetDomains() {
		if x == domain {
			return true
		}
	}
	return false
}
