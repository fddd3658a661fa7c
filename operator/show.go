package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/query"
	"github.com/lentilshed/lentilshed/roster"
)

const stateDraining = "draining"

// show executes a show statement. Of is ignored except for targets, and Where for
// the handover.
func (s *Session) show(ctx context.Context, q *query.Show) error {
	h, err := s.store.Read(ctx)
	if err != nil {
		return err
	}
	if q.What == "services" || q.What == "changes" {
		return s.printTable(s.declaredTable(q.What, h.Document), q.Where)
	}
	f, err := s.config.Fleet(ctx)
	if err != nil {
		return err
	}
	switch q.What {
	case "targets":
		return s.showTargets(h.Document, f, q)
	case "domains":
		return s.printTable(domainTable(h.Document, f), q.Where)
	case "instances":
		return s.printTable(instanceTable(f), q.Where)
	}
	return s.showHandover(h.Document, f)
}

func (s *Session) printTable(t *table, w *query.Where) error {
	if err := t.filter(w); err != nil {
		return err
	}
	return s.print(t)
}

func (s *Session) declaredTable(what string, d *intent.Document) *table {
	if what == "services" {
		return serviceTable(d)
	}
	t := newTable("revision", "at", "author", "change")
	for _, o := range slices.Backward(d.Operations) {
		t.add(o.GetRevision(), formatTime(o.GetAtMs()), o.GetAuthor(), o.GetSummary())
	}
	return t
}

func serviceTable(d *intent.Document) *table {
	t := newTable("service", "address", "flow_limit", "cold_share", "warmup", "domains", "revision")
	for _, n := range slices.Sorted(maps.Keys(d.Services)) {
		service := d.Services[n]
		if service.GetDeleted() {
			continue
		}
		domains := "all"
		if len(service.GetDomains()) > 0 {
			domains = strings.Join(service.GetDomains(), ",")
		}
		warmup := time.Duration(service.GetWarmupMs()) * time.Millisecond
		t.add(n, service.GetAddress(), service.GetFlowLimit(), service.GetColdShare(), warmup, domains, service.GetRevision())
	}
	return t
}

func (s *Session) showTargets(d *intent.Document, f *fleet.Snapshot, q *query.Show) error {
	if q.Of != "" && (d.Services[q.Of] == nil || d.Services[q.Of].GetDeleted()) {
		return unknownNameError("service", q.Of, keys(d.Services))
	}
	t := newTable("target", "service", "domain", "state", "flows", "limit", "capacity", "refused")
	for _, m := range f.Members {
		if m.GetService() == roster.InstanceService || (q.Of != "" && m.GetService() != q.Of) {
			continue
		}
		v := f.Instance(m.GetTarget()).GetVitals()
		t.add(m.GetTarget(), m.GetService(), m.GetDomain(), targetState(d, m, v),
			v.GetActive(), v.GetLimit(), v.GetCapacity(), v.GetRefused())
	}
	return s.printTable(t, q.Where)
}

// targetState returns the state of a target. If several apply, it returns the
// first in the order of the cases.
func targetState(d *intent.Document, m *controlpb.Member, v *controlpb.Vitals) string {
	switch {
	case m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE && m.GetCrashed():
		return "crashed"
	case m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE:
		return "left"
	case d.OutOfService(m.GetDomain()):
		return "out"
	case d.Targets[m.GetTarget()].GetDraining(), m.GetState() == controlpb.MemberState_MEMBER_STATE_LEAVING:
		return stateDraining
	case v == nil, m.GetState() == controlpb.MemberState_MEMBER_STATE_SUSPECT:
		return "unheard"
	case v.GetLimit() > 0 && v.GetActive() >= v.GetLimit():
		return "full"
	case v.GetCold():
		return "cold"
	}
	return "serving"
}

func domainTable(d *intent.Document, f *fleet.Snapshot) *table {
	names := map[string]bool{}
	targets := map[string]int{}
	flows := map[string]uint32{}
	for n := range d.Domains {
		names[n] = true
	}
	for _, m := range f.Members {
		if m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
			continue
		}
		names[m.GetDomain()] = true
		if m.GetService() != roster.InstanceService {
			targets[m.GetDomain()]++
			flows[m.GetDomain()] += f.Instance(m.GetTarget()).GetVitals().GetActive()
		}
	}
	t := newTable("domain", "state", "since", "targets", "flows")
	for _, n := range slices.Sorted(maps.Keys(names)) {
		state := "in"
		if d.OutOfService(n) {
			state = "out"
		}
		since := "-"
		if domain := d.Domains[n]; domain != nil {
			since = formatTime(domain.GetSinceMs())
		}
		t.add(n, state, since, targets[n], flows[n])
	}
	return t
}

func instanceTable(f *fleet.Snapshot) *table {
	t := newTable("instance", "role", "domain", "revision", "roster", "control")
	for _, i := range f.Instances {
		t.add(i.GetName(), i.GetRole(), i.GetDomain(), i.GetIntentRevision(), i.GetRosterVersion(), i.GetControlAddress())
	}
	for _, n := range f.Silent {
		t.add(n, "balancer", "-", "-", "-", "silent")
	}
	return t
}

func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05")
}

func (s *Session) help() error {
	_, err := fmt.Fprint(s.config.Out, helpText)
	return err //nolint:wrapcheck // The error needs no context.
}

const helpText = `show services | domains | instances | changes | handover
show targets [of SERVICE] [where COLUMN = VALUE | where COLUMN != VALUE]
drain TARGET [within 30m]
undrain TARGET
take out domain DOMAIN
bring back domain DOMAIN
set service SERVICE flow_limit | cold_share | warmup VALUE
help
`
