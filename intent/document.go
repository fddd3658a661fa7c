// Package intent holds the declared state of a region: services, the operators'
// orders for failure domains and targets, and the latest changes with their
// authors. Revisions only rise.
package intent

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
)

// ErrGap marks a delta that starts above the revision it was merged into.
var ErrGap = errors.New("delta starts above the held revision")

// MaxOperations is the highest number of recent changes that a document lists. A
// writer that did not get the response to its write looks for its operation among
// them.
const MaxOperations = 64

// Document is the declared state at one revision. The zero Document is not
// usable; call NewDocument.
type Document struct {
	Region     string
	Revision   uint64
	Services   map[string]*controlpb.Service
	Domains    map[string]*controlpb.Domain
	Targets    map[string]*controlpb.TargetOrder
	Operations []*controlpb.Operation
}

// NewDocument returns an empty document at revision zero.
func NewDocument(region string) *Document {
	return &Document{
		Region:   region,
		Services: map[string]*controlpb.Service{},
		Domains:  map[string]*controlpb.Domain{},
		Targets:  map[string]*controlpb.TargetOrder{},
	}
}

// FromMessage returns the document that is encoded in a full message.
func FromMessage(m *controlpb.Intent) *Document {
	d := NewDocument(m.GetRegion())
	d.apply(m)
	return d
}

// Clone returns a copy whose maps may be changed. Entries are shared and must
// be replaced, not edited.
func (d *Document) Clone() *Document {
	return &Document{
		Region:     d.Region,
		Revision:   d.Revision,
		Services:   maps.Clone(d.Services),
		Domains:    maps.Clone(d.Domains),
		Targets:    maps.Clone(d.Targets),
		Operations: slices.Clone(d.Operations),
	}
}

// Merge applies a delta or a full message and reports whether anything changed.
// A message at or below the held revision changes nothing; one that starts
// above it returns ErrGap.
func (d *Document) Merge(m *controlpb.Intent) (bool, error) {
	if m.GetRevision() <= d.Revision {
		return false, nil
	}
	if m.GetBase() > d.Revision {
		return false, errors.Wrapf(ErrGap, "base %d, held %d", m.GetBase(), d.Revision)
	}
	d.apply(m)
	return true, nil
}

// Since returns every entry changed after a revision; zero gives all of them.
func (d *Document) Since(revision uint64) *controlpb.Intent {
	m := &controlpb.Intent{
		Region:   d.Region,
		Revision: d.Revision,
		Base:     revision,
	}
	for _, k := range slices.Sorted(maps.Keys(d.Services)) {
		if s := d.Services[k]; s.GetRevision() > revision {
			m.Services = append(m.Services, s)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(d.Domains)) {
		if domain := d.Domains[k]; domain.GetRevision() > revision {
			m.Domains = append(m.Domains, domain)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(d.Targets)) {
		if t := d.Targets[k]; t.GetRevision() > revision {
			m.Targets = append(m.Targets, t)
		}
	}
	for _, o := range d.Operations {
		if o.GetRevision() > revision {
			m.Operations = append(m.Operations, o)
		}
	}
	return m
}

// Operation returns the recorded operation with an ID, or nil.
func (d *Document) Operation(id string) *controlpb.Operation {
	for _, o := range d.Operations {
		if o.GetId() == id {
			return o
		}
	}
	return nil
}

// OutOfService reports whether the operators took a failure domain out of service.
func (d *Document) OutOfService(domain string) bool {
	return d.Domains[domain].GetOut()
}

func (d *Document) apply(m *controlpb.Intent) {
	for _, s := range m.GetServices() {
		d.Services[s.GetName()] = s
	}
	for _, domain := range m.GetDomains() {
		d.Domains[domain.GetName()] = domain
	}
	for _, t := range m.GetTargets() {
		d.Targets[t.GetTarget()] = t
	}
	d.Operations = append(d.Operations, m.GetOperations()...)
	if n := len(d.Operations); n > MaxOperations {
		d.Operations = slices.Clone(d.Operations[n-MaxOperations:])
	}
	d.Revision = m.GetRevision()
}
