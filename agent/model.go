// Package agent runs beside each backend server and terminates callers' TCP
// flows in user space. Model decides where every packet and flow goes without
// doing any I/O: Update takes a message and returns effects, which Runtime performs.
package agent

import (
	"math/rand/v2"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Model is the state of one agent. It knows exactly which flows its backend
// server holds and, for the buckets that it is home of, which agents hold the
// other flows. A Model belongs to one goroutine.
//
//	m := agent.NewModel(config, now)
//	for _, e := range m.Update(now, agent.TickMsg{}) { perform(e) }
type Model struct {
	config     Config
	table      *service.Table
	self       *service.Target
	gate       *target.Gate
	flows      map[flow.Key]*localFlow
	placements map[flow.Key]*placement
	peers      map[target.ID]*peer
	// adoptedAt is when the table in force was adopted.
	adoptedAt           time.Time
	pendingSyncRequests map[target.ID]SyncRequestMsg
	// newestVector joins the vectors of all lists received. A list made under a
	// newer table leaves out the buckets that this agent is about to lose.
	newestVector service.Vector
	held         heldQueue
	deadline     time.Time
	stopping     bool
	fenced       bool
	lastLoad     loadReport
	stats        Stats
	rand         *rand.Rand
	effects      []Effect
}

// NewModel returns a model without a table; it drops packets until the first
// TableMsg.
func NewModel(c Config, now time.Time) *Model {
	return &Model{
		config:              c,
		gate:                target.NewGate(c.Gate, now),
		flows:               map[flow.Key]*localFlow{},
		placements:          map[flow.Key]*placement{},
		peers:               map[target.ID]*peer{},
		pendingSyncRequests: map[target.ID]SyncRequestMsg{},
		rand:                rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
	}
}

// Update takes one message and returns the effects to perform. The result is
// valid until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case PacketMsg:
		m.routePacket(now, x)
	case TableMsg:
		m.adopt(now, x)
	case FencedMsg:
		m.fenced = true
		m.abortAllFlows()
	case FlowEstablishedMsg:
		m.handleFlowEstablished(x)
	case FlowEndedMsg:
		m.handleFlowEnded(now, x)
	case StopMsg:
		m.stopping = true
	case TickMsg:
		m.tick(now)
	default:
		m.handlePeerMsg(now, msg)
		m.observe(now, msg)
	}
	m.check()
	return m.effects
}

// handlePeerMsg handles messages of other agents and events of their connections.
func (m *Model) handlePeerMsg(now time.Time, msg Msg) {
	switch x := msg.(type) {
	case SyncRequestMsg:
		m.handleSyncRequest(x)
	case SyncMsg:
		m.handleSync(now, x)
	case RegisterMsg:
		m.handleRegister(now, x)
	case ReserveMsg:
		m.handleReserve(now, x)
	case ReservedMsg:
		m.handleReserved(now, x)
	case ReleaseMsg:
		m.handleRelease(x)
	case LoadMsg:
		m.handleLoad(now, x)
	case PeerLostMsg:
		m.handlePeerLost(now, x)
	case PeerUnreachableMsg:
		m.dropOffersTo(x.To)
	}
}

// observe handles observations of the backend server.
func (m *Model) observe(now time.Time, msg Msg) {
	switch x := msg.(type) {
	case LatencyMsg:
		m.gate.ObserveLatency(now, x.Latency)
	case BackendLoadMsg:
		m.gate.ObserveLoad(now, x.Load)
	case BackendRestartMsg:
		m.gate.RestartWarmup(now)
	}
}

// Stats returns the counters so far.
func (m *Model) Stats() Stats {
	return m.stats
}

// Gate returns the admission gate, for reading.
func (m *Model) Gate() *target.Gate {
	return m.gate
}

// Vector returns the vector of the table in force; it is zero without a table.
func (m *Model) Vector() service.Vector {
	if m.table == nil {
		return service.Vector{}
	}
	return m.table.Vector
}

// Flows returns the number of local flows that have not closed.
func (m *Model) Flows() int {
	return int(m.gate.Active())
}

// FlowsAtPeers returns the number of known flows that peers hold or have been
// offered.
func (m *Model) FlowsAtPeers() int {
	return len(m.placements)
}

// Holds reports whether this agent holds a flow.
func (m *Model) Holds(k flow.Key) bool {
	f := m.flows[k]
	return f != nil && f.state != flowClosing
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) drop(r packet.Reason) {
	m.stats.Dropped[r]++
	m.emit(DropEffect{
		Reason: r,
	})
}

// check counts a violation when more flows are admitted than the configured limit.
func (m *Model) check() {
	if m.gate.Active() > m.config.Gate.Limit && m.config.Gate.Limit > 0 {
		m.stats.Violations++
	}
}

func (m *Model) handleFlowEnded(now time.Time, x FlowEndedMsg) {
	f := m.flows[x.Key]
	if f == nil || f.state == flowClosing {
		return
	}
	f.state = flowClosing
	f.expires = now.Add(closeLinger)
	m.gate.Release()
	if x.LostByBackend {
		m.gate.ObserveLoss(now)
	}
}

func (m *Model) handleFlowEstablished(x FlowEstablishedMsg) {
	if f := m.flows[x.Key]; f != nil && f.state == flowOpen {
		f.established = true
	}
}

// abortAllFlows aborts every local flow at once: this target must not report
// later that it holds them.
func (m *Model) abortAllFlows() {
	for k, f := range m.flows {
		if f.state != flowClosing {
			m.stats.EndedOutOfService++
		}
		m.abortFlow(k)
	}
}

// endAllFlows ends every local flow; the TCP stack reports when each has ended.
func (m *Model) endAllFlows() {
	for k, f := range m.flows {
		if f.state == flowClosing {
			continue
		}
		m.stats.EndedDeadline++
		m.emit(EndFlowEffect{
			Key: k,
		})
	}
}

func (m *Model) tick(now time.Time) {
	m.expire(now)
	m.requestSyncs(now)
	m.flushHeld(now)
	m.reportLoad(now)
	if !m.deadline.IsZero() && !now.Before(m.deadline) {
		m.deadline = time.Time{}
		m.endAllFlows()
	}
}

// expire removes closed flows and reservations whose first packet never
// arrived, and notifies their homes. It also removes disputed placements after
// disputeTimeout.
func (m *Model) expire(now time.Time) {
	ended := map[target.ID][]flow.Key{}
	for k, f := range m.flows {
		if f.state == flowOpen || now.Before(f.expires) {
			continue
		}
		if f.state == flowReserved {
			m.gate.Release()
		}
		delete(m.flows, k)
		if h, ok := m.home(k); ok && h.ID != m.config.Self {
			ended[h.ID] = append(ended[h.ID], k)
		}
	}
	for id, keys := range ended {
		m.sendRegister(id, nil, keys)
	}
	for k, p := range m.placements {
		if !p.disputeEnds.IsZero() && now.After(p.disputeEnds) {
			delete(m.placements, k)
		}
	}
}

// home returns the home of a flow under the table in force.
func (m *Model) home(k flow.Key) (*service.Target, bool) {
	if m.table == nil {
		return nil, false
	}
	return m.table.HomeOf(k)
}
