package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Replica keeps the part of the declared state and of the roster that an
// agent needs, and turns it into messages for the Model.
type Replica struct {
	config   Config
	document *intent.Document
	roster   *roster.Roster
}

// NewReplica returns a follower that has heard nothing.
func NewReplica(c Config, region string) *Replica {
	return &Replica{
		config:   c,
		document: intent.NewDocument(region),
		roster:   roster.NewRoster(),
	}
}

// IntentRevision returns the revision of the declared state in force here.
func (r *Replica) IntentRevision() uint64 {
	return r.document.Revision
}

// RosterVersion returns the version of the roster in force here.
func (r *Replica) RosterVersion() roster.Version {
	return r.roster.Version
}

// MergeIntent merges a delta. It returns intent.ErrGap when one is missing.
func (r *Replica) MergeIntent(m *controlpb.Intent) (bool, error) {
	return r.document.Merge(m)
}

// MergeRoster merges a delta. It returns roster.ErrGap when one is missing.
func (r *Replica) MergeRoster(m *controlpb.Roster) (bool, error) {
	t, err := r.roster.Merge(m)
	return t != nil, err
}

// Table returns the table message in force, or false while the service is
// unknown.
func (r *Replica) Table() (TableMsg, bool) {
	t := service.BuildTable(r.config.Service, r.document, r.roster)
	if t == nil {
		return TableMsg{}, false
	}
	s := r.document.Services[r.config.Service]
	g := r.config.Gate
	if n := s.GetFlowLimit(); n > 0 {
		g.Limit = min(g.Limit, n)
	}
	g.ColdShare = s.GetColdShare()
	g.Warmup = time.Duration(s.GetWarmupMs()) * time.Millisecond
	m := TableMsg{
		Table: t,
		Gate:  g,
	}
	o := r.document.Targets[string(r.config.Self)]
	if o.GetDraining() && o.GetDeadlineMs() > 0 {
		m.DrainDeadline = time.UnixMilli(o.GetDeadlineMs())
	}
	return m, true
}

// Fenced reports whether the roster holds a newer life of this target.
func (r *Replica) Fenced() bool {
	m := r.roster.Member(string(r.config.Self))
	return m != nil && target.Incarnation(m.GetIncarnation()) > r.config.Incarnation
}

// Balancers returns the control addresses of living balancers, those of the
// own failure domain first.
func (r *Replica) Balancers() []string {
	var near, far []string
	for _, m := range r.roster.Service(roster.InstanceService) {
		switch {
		case m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE:
		case m.GetDomain() == r.config.Domain:
			near = append(near, m.GetControlAddress())
		default:
			far = append(far, m.GetControlAddress())
		}
	}
	return append(near, far...)
}
