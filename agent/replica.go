package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Replica is an agent's copy of the part of the declared state and of the
// roster that it needs. It builds the routing table messages for the Model from
// them.
type Replica struct {
	config   Config
	document *intent.Document
	roster   *roster.Roster
}

// NewReplica returns an empty replica.
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

// MergeIntent merges a delta of the declared state and reports whether it
// changed anything. It returns intent.ErrGap when an earlier delta is missing.
func (r *Replica) MergeIntent(m *controlpb.Intent) (bool, error) {
	return r.document.Merge(m)
}

// MergeRoster merges a delta of the roster and reports whether it changed
// anything. It returns roster.ErrGap when an earlier delta is missing, or when
// the delta does not continue the history of the held roster.
func (r *Replica) MergeRoster(m *controlpb.Roster) (bool, error) {
	t, err := r.roster.Merge(m)
	return t != nil, err
}

// Table returns the table message in force, or false while the service is
// unknown.
func (r *Replica) Table() (TableMsg, bool) {
	table := service.BuildTable(r.config.Service, r.document, r.roster)
	if table == nil {
		return TableMsg{}, false
	}
	declared := r.document.Services[r.config.Service]
	gate := r.config.Gate
	if n := declared.GetFlowLimit(); n > 0 {
		gate.Limit = min(gate.Limit, n)
	}
	gate.ColdShare = declared.GetColdShare()
	gate.Warmup = time.Duration(declared.GetWarmupMs()) * time.Millisecond
	msg := TableMsg{
		Table: table,
		Gate:  gate,
	}
	order := r.document.Targets[string(r.config.Self)]
	if order.GetDraining() && order.GetDeadlineMs() > 0 {
		msg.DrainDeadline = time.UnixMilli(order.GetDeadlineMs())
	}
	return msg, true
}

// Fenced reports whether the roster holds a newer incarnation of this target.
func (r *Replica) Fenced() bool {
	m := r.roster.Member(string(r.config.Self))
	return m != nil && target.Incarnation(m.GetIncarnation()) > r.config.Incarnation
}

// Balancers returns the control addresses of the balancers that are not gone,
// those of the agent's own failure domain first.
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
