package operator

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/declaration"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/query"
	"github.com/lentilshed/lentilshed/roster"
)

// drain stops new flows to a target. With a deadline, the summary of the change
// says how many flows are open now and when those that are left will be cut.
func (s *Session) drain(ctx context.Context, d *query.Drain) error {
	timeout, err := d.Timeout()
	if err != nil {
		return err
	}
	f, err := s.config.Fleet(ctx)
	if err != nil {
		return err
	}
	if err := knownTarget(f, d.Target); err != nil {
		return err
	}
	summary := "drain " + d.Target
	deadline := time.Time{}
	if timeout > 0 {
		deadline = s.config.Now().Add(timeout)
		flows := f.Instance(d.Target).GetVitals().GetActive()
		summary += fmt.Sprintf(" within %s (%d flows open now; those left at %s are cut)", timeout, flows, deadline.UTC().Format(time.RFC3339))
	}
	return s.Change(ctx, summary, func(_ intent.VersionedDocument, e *intent.Edit) error {
		e.SetDraining(d.Target, true, deadline)
		return nil
	})
}

func (s *Session) undrain(ctx context.Context, target string) error {
	return s.Change(ctx, "undrain "+target, func(base intent.VersionedDocument, e *intent.Edit) error {
		o := base.Document.Targets[target]
		if o == nil {
			return unknownNameError("target", target, keys(base.Document.Targets))
		}
		if o.GetDraining() {
			e.SetDraining(target, false, time.Time{})
		}
		return nil
	})
}

// setDomainOutOfService takes a domain out of service, or brings it back if out
// is false.
func (s *Session) setDomainOutOfService(ctx context.Context, name string, out bool) error {
	verb := "bring back domain "
	if out {
		verb = "take out domain "
	}
	f, err := s.config.Fleet(ctx)
	if err != nil && !out {
		return err
	}
	return s.Change(ctx, verb+name, func(base intent.VersionedDocument, e *intent.Edit) error {
		if err := knownDomain(f, base.Document, name); err != nil {
			return err
		}
		if base.Document.OutOfService(name) != out {
			e.SetDomainOutOfService(name, out, s.config.Now())
		}
		return nil
	})
}

// set changes one field of a service.
func (s *Session) set(ctx context.Context, q *query.Set) error {
	summary := fmt.Sprintf("set service %s %s %s", q.Service, q.Field, q.Value)
	return s.Change(ctx, summary, func(base intent.VersionedDocument, e *intent.Edit) error {
		old := base.Document.Services[q.Service]
		if old == nil || old.GetDeleted() {
			return unknownNameError("service", q.Service, keys(base.Document.Services))
		}
		d := toDeclaration(old)
		if err := setField(&d, q.Field, q.Value); err != nil {
			return err
		}
		if err := declaration.Check("set", &d); err != nil {
			return err
		}
		e.PutService(d.Proto())
		return nil
	})
}

// toDeclaration converts a stored service to its declaration.
func toDeclaration(s *controlpb.Service) declaration.Service {
	return declaration.Service{
		Name:      s.GetName(),
		Address:   s.GetAddress(),
		Domains:   s.GetDomains(),
		FlowLimit: int64(s.GetFlowLimit()),
		ColdShare: s.GetColdShare(),
		Warmup:    (time.Duration(s.GetWarmupMs()) * time.Millisecond).String(),
	}
}

func setField(d *declaration.Service, field, value string) error {
	var err error
	switch field {
	case "flow_limit":
		d.FlowLimit, err = strconv.ParseInt(value, 10, 64)
	case "cold_share":
		d.ColdShare, err = strconv.ParseFloat(value, 64)
	case "warmup":
		d.Warmup = value
	}
	if err != nil {
		return failure.Mark(errors.Newf("set: %s: %q is not a number", field, value), declaration.ErrInvalid)
	}
	return nil
}

func knownTarget(f *fleet.Snapshot, name string) error {
	var names []string
	for _, m := range f.Members {
		if m.GetService() == roster.InstanceService || m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
			continue
		}
		if m.GetTarget() == name {
			return nil
		}
		names = append(names, m.GetTarget())
	}
	return unknownNameError("target", name, names)
}

// knownDomain returns an error unless the roster has a member in the domain, which
// may be gone, or the declared state has an entry for it. It accepts any name if
// there is no snapshot, so that a domain can be taken out of service while no
// balancer answers.
func knownDomain(f *fleet.Snapshot, d *intent.Document, name string) error {
	if f == nil || d.Domains[name] != nil {
		return nil
	}
	var names []string
	for _, m := range f.Members {
		if m.GetDomain() == name {
			return nil
		}
		names = append(names, m.GetDomain())
	}
	return unknownNameError("domain", name, names)
}

func unknownNameError(kind, name string, known []string) error {
	if near := query.Nearest(name, known); near != "" {
		return failure.Mark(errors.Newf("unknown %s %q; did you mean %q?", kind, name, near), ErrUnknownName)
	}
	return failure.Mark(errors.Newf("unknown %s %q", kind, name), ErrUnknownName)
}

func keys[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	return l
}
