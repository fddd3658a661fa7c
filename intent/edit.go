package intent

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
)

// Edit collects changes for one conditional write. Every changed entry gets
// the next revision. Build one with NewEdit, change it, then write Done.
//
//	e := intent.NewEdit(document)
//	e.SetDomainOutOfService("nuernberg", true, now)
//	next := e.Done(operation)
type Edit struct {
	next    *Document
	changed int
}

// NewEdit returns an edit that starts from d and leaves d unchanged.
func NewEdit(d *Document) *Edit {
	n := d.Clone()
	n.Revision++
	return &Edit{
		next: n,
	}
}

// Changed returns the number of changes made so far, also those that set an entry to
// the value that it had.
func (e *Edit) Changed() int {
	return e.changed
}

// PutService declares or changes a service. A new service gets the next free ID.
func (e *Edit) PutService(s *controlpb.Service) {
	c := &controlpb.Service{
		Name:      s.GetName(),
		Revision:  e.next.Revision,
		Id:        e.serviceID(s.GetName()),
		Address:   s.GetAddress(),
		Domains:   slices.Clone(s.GetDomains()),
		ColdShare: s.GetColdShare(),
		WarmupMs:  s.GetWarmupMs(),
		FlowLimit: s.GetFlowLimit(),
	}
	e.next.Services[c.GetName()] = c
	e.changed++
}

// DeleteService removes a service and keeps a tombstone for later deltas.
func (e *Edit) DeleteService(name string) {
	e.next.Services[name] = &controlpb.Service{
		Name:     name,
		Revision: e.next.Revision,
		Id:       e.serviceID(name),
		Deleted:  true,
	}
	e.changed++
}

// SetDomainOutOfService takes a failure domain out of service or brings it back.
func (e *Edit) SetDomainOutOfService(name string, out bool, now time.Time) {
	e.next.Domains[name] = &controlpb.Domain{
		Name:     name,
		Revision: e.next.Revision,
		Out:      out,
		SinceMs:  now.UnixMilli(),
	}
	e.changed++
}

// SetDraining starts or ends the drain of a target. With a zero deadline, flows
// stay open until their endpoints close them.
func (e *Edit) SetDraining(target string, draining bool, deadline time.Time) {
	o := &controlpb.TargetOrder{
		Target:   target,
		Revision: e.next.Revision,
		Draining: draining,
	}
	if !deadline.IsZero() {
		o.DeadlineMs = deadline.UnixMilli()
	}
	e.next.Targets[target] = o
	e.changed++
}

// Done records the operation and returns the document to write.
func (e *Edit) Done(o *controlpb.Operation) *Document {
	e.next.Operations = append(e.next.Operations, &controlpb.Operation{
		Id:       o.GetId(),
		Revision: e.next.Revision,
		Author:   o.GetAuthor(),
		AtMs:     o.GetAtMs(),
		Summary:  o.GetSummary(),
	})
	if n := len(e.next.Operations); n > MaxOperations {
		e.next.Operations = slices.Clone(e.next.Operations[n-MaxOperations:])
	}
	return e.next
}

func (e *Edit) serviceID(name string) uint32 {
	if s, ok := e.next.Services[name]; ok {
		return s.GetId()
	}
	top := uint32(0)
	for _, s := range e.next.Services {
		top = max(top, s.GetId())
	}
	return top + 1
}
