// Package measure measures how memory, processor time and messages grow with
// the size of the system, and checks what becomes of conflicting changes.
// docs/CAPACITY.md is derived from its results.
package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
	"google.golang.org/protobuf/proto"
)

const (
	targetsPerService = 150_000.0 / 44_000
	domainsPerRegion  = 4
	registrarTerm     = 1
)

// TablesResult is the cost of the tables of one balancer at one size of its
// region.
type TablesResult struct {
	Targets       int     `json:"targets"`
	Services      int     `json:"services"`
	HeapBytes     uint64  `json:"heap_bytes"`
	BuildMS       float64 `json:"build_all_ms"`
	RosterBytes   int     `json:"whole_roster_bytes"`
	IntentBytes   int     `json:"whole_intent_bytes"`
	StoredBytes   int     `json:"stored_intent_bytes"`
	FlowKeyBytes  int     `json:"one_flow_key_bytes"`
	DeltaBytes    int     `json:"one_target_change_bytes"`
	DeltaApplyUS  float64 `json:"one_target_change_us"`
	DomainApplyMS float64 `json:"domain_out_ms"`
}

// tableState is the state that a balancer has of its region.
type tableState struct {
	document *intent.Document
	roster   *roster.Roster
	tables   map[string]*service.Table
	routes   *balancer.Routes
}

// RunTables builds the state of a region with a number of targets and measures
// its size and the time of changes.
func RunTables(targets int) (*TablesResult, error) {
	before := heap()
	s := newTableState(targets)
	started := time.Now()
	s.buildAll()
	t := &TablesResult{
		Targets:   targets,
		Services:  len(s.document.Services),
		BuildMS:   milliseconds(time.Since(started)),
		HeapBytes: heap() - before,
	}
	t.RosterBytes = proto.Size(s.roster.Since(0, ""))
	t.IntentBytes = proto.Size(s.document.Since(0))
	t.FlowKeyBytes = proto.Size(&controlpb.Sync{
		Flows: []*controlpb.FlowKey{{
			Source:     0x64400001,
			SourcePort: 40_000,
		}},
	})
	b, err := intent.Encode(s.document)
	if err != nil {
		return nil, err
	}
	t.StoredBytes = len(b)
	if err := s.measureChange(t); err != nil {
		return nil, err
	}
	started = time.Now()
	e := intent.NewEdit(s.document)
	e.SetDomainOutOfService(domain(0), true, started)
	s.document = e.Done(&controlpb.Operation{})
	s.buildAll()
	t.DomainApplyMS = milliseconds(time.Since(started))
	runtime.KeepAlive(s)
	return t, nil
}

func newTableState(targets int) *tableState {
	s := &tableState{
		roster: roster.NewRoster(),
		tables: map[string]*service.Table{},
	}
	e := intent.NewEdit(intent.NewDocument("region"))
	services := max(1, int(float64(targets)/targetsPerService))
	for i := range services {
		e.PutService(&controlpb.Service{
			Name:      serviceName(i),
			Address:   fmt.Sprintf("10.%d.%d.%d:7000", 64+i>>16, i>>8&255, i&255),
			ColdShare: 0.1,
			WarmupMs:  30_000,
			FlowLimit: 2000,
		})
	}
	s.document = e.Done(&controlpb.Operation{})
	g := roster.NewRegistrar(s.roster, registrarTerm, time.Now())
	for i := range targets {
		g.Claim(member(i, services), "balancer-1")
	}
	return s
}

func member(i, services int) *controlpb.Member {
	return &controlpb.Member{
		Target:         fmt.Sprintf("target-%06d", i),
		Incarnation:    uint64(1_800_000_000_000_000 + i),
		Service:        serviceName(i % services),
		Domain:         domain(i / services),
		PacketAddress:  fmt.Sprintf("10.%d.%d.%d:6081", i>>16, i>>8&255, i&255),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:6200", i>>16, i>>8&255, i&255),
		Weight:         2000,
		State:          controlpb.MemberState_MEMBER_STATE_JOINED,
	}
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%05d", i)
}

func domain(i int) string {
	return fmt.Sprintf("domain-%d", i%domainsPerRegion)
}

func (s *tableState) buildAll() {
	for n := range s.document.Services {
		s.tables[n] = service.BuildTable(n, s.document, s.roster)
	}
	s.routes = balancer.NewRoutes(s.tables, false)
}

// measureChange measures the size of a registrar's message about the restart of
// one target, and how long a balancer takes to merge and apply it.
func (s *tableState) measureChange(t *TablesResult) error {
	const rounds = 100
	total := time.Duration(0)
	all := s.roster.Members()
	for i := range rounds {
		restarted := proto.CloneOf(all[i%len(all)])
		restarted.Incarnation += uint64(i + 1)
		restarted.Version = uint64(s.roster.Version) + 1
		m := &controlpb.Roster{
			Version: restarted.GetVersion(),
			Base:    uint64(s.roster.Version),
			Members: []*controlpb.Member{restarted},
			Origin:  uint64(s.roster.Origin),
		}
		t.DeltaBytes = proto.Size(m)
		started := time.Now()
		touched, err := s.roster.Merge(m)
		if err != nil {
			return err
		}
		for _, n := range touched {
			s.tables[n] = service.BuildTable(n, s.document, s.roster)
		}
		s.routes = balancer.NewRoutes(s.tables, false)
		total += time.Since(started)
	}
	t.DeltaApplyUS = float64(total.Microseconds()) / rounds
	return nil
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
