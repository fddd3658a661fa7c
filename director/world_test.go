package director_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

const (
	worldService = "boards"
	worldTick    = 50 * time.Millisecond
	// misroute is the span in which three packets of an open flow must not reach
	// other backend servers while none reaches its own.
	misroute = 2 * time.Second
	// detour is the greatest delay of a datagram between instances.
	detour = 3 * time.Millisecond
)

// event is something that happens in the world at a time.
type event struct {
	at time.Time
	do func()
}

// station is an instance with an agent and a backend server.
type station struct {
	name     string
	address  netip.AddrPort
	domain   string
	model    *holder.Model
	life     uint64
	reports  uint64
	server   *server
	recorded uint64
	down     bool
	started  time.Time
	// blind are lives of the backend server that were not recorded yet when the
	// agent was killed. Their flows came while the agent took the server for its
	// earlier life; the users' rules leave out instances that have just been
	// killed, so these may be taken for dead.
	blind map[*server]bool
}

// gateway is a balancer.
type gateway struct {
	address netip.AddrPort
	model   *director.Model
	down    bool
}

// world joins models of balancers and agents by a network that delays and
// loses datagrams. It asserts what must hold for flows.
type world struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Time
	events   []event
	stations []*station
	gateways []*gateway
	callers  map[flow.Tuple]*caller
	config   *routing.Config
	out      []string
	lives    uint64
	ports    uint32
	loss     float64
	refused  int
	// rotation changes when the fabric deals flows anew.
	rotation uint32
	resets   int
	// sent counts reports.
	sent int
	// log has what happened to each flow, for a failed run.
	log map[flow.Tuple][]string
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:       t,
		rand:    rand.New(rand.NewPCG(seed, 3)),
		now:     time.Unix(1_800_000_000, 0),
		callers: map[flow.Tuple]*caller{},
		log:     map[flow.Tuple][]string{},
		loss:    0.005,
		config: &routing.Config{
			Version: 1,
			Routes: map[routing.Address]routing.Route{
				worldAddress: {
					Name: "r",
					Shares: []routing.Share{
						{
							Service: worldService,
							Weight:  1,
						},
					},
				},
			},
		},
	}
	for i := range 6 {
		w.addStation(i)
	}
	for i := range 3 {
		w.gateways = append(w.gateways, &gateway{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7720),
		})
		w.startGateway(w.gateways[i])
	}
	return w
}

var worldAddress = routing.Address{
	Host: 0xc6120001,
	Port: 443,
}

func (w *world) addStation(i int) {
	s := &station{
		name:    fmt.Sprintf("station-%d", i),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 8172),
		domain:  fmt.Sprintf("domain-%d", i%3),
		blind:   map[*server]bool{},
	}
	w.stations = append(w.stations, s)
	w.startServer(s)
	w.startAgent(s)
}

func (w *world) startAgent(s *station) {
	w.lives++
	s.life = w.lives
	s.reports = 0
	s.down = false
	s.started = w.now
	var balancers []netip.AddrPort
	for _, g := range w.gateways {
		balancers = append(balancers, g.address)
	}
	s.model = holder.NewModel(holder.Config{
		Service:   worldService,
		Balancers: balancers,
	}, w.now)
	w.tell(s, holder.ConfigMsg{
		IdleTimeout: 15 * time.Second,
	})
	w.tell(s, holder.EarlierRecordMsg{
		Incarnation: s.recorded,
	})
	w.agentTick(s, s.life)
}

func (w *world) agentTick(s *station, life uint64) {
	if s.life != life || s.down {
		return
	}
	w.tell(s, holder.TickMsg{})
	w.later(worldTick, func() { w.agentTick(s, life) })
}

func (w *world) startGateway(g *gateway) {
	w.lives++
	g.down = false
	g.model = director.NewModel(director.Config{
		Name:      g.address.String(),
		Domain:    fmt.Sprintf("domain-%d", w.lives%3),
		Placement: placement.DefaultConfig(),
	}, w.now)
	w.direct(g, director.ConfigMsg{
		Config: w.config,
	})
	w.direct(g, director.DomainsMsg{
		OutOfService: w.out,
	})
	w.list(g)
	w.gatewayTick(g, g.model)
}

func (w *world) gatewayTick(g *gateway, m *director.Model) {
	if g.model != m || g.down {
		return
	}
	w.direct(g, director.TickMsg{})
	w.later(worldTick, func() { w.gatewayTick(g, m) })
}

func (w *world) list(g *gateway) {
	m := g.model
	asked := w.now
	w.later(8*time.Millisecond, func() {
		if g.model != m {
			return
		}
		var l []director.Member
		for _, s := range w.stations {
			if s.recorded != 0 {
				l = append(l, w.member(s))
			}
		}
		w.direct(g, director.MembersMsg{
			MemberChanges: director.MemberChanges{
				Full:   true,
				Listed: l,
			},
			RequestedAt: asked,
		})
	})
}

func (w *world) member(s *station) director.Member {
	return director.Member{
		Name:        s.name,
		Address:     s.address,
		Service:     worldService,
		Domain:      s.domain,
		Incarnation: s.life,
		Sequence:    s.reports,
	}
}

func (w *world) report(s *station, to []netip.AddrPort) {
	s.reports++
	m := director.ReportMsg{
		Member: w.member(s),
		Report: s.model.Report(w.now),
	}
	for _, a := range to {
		w.sent++
		w.toGateway(a, m)
	}
}

// toGateway carries a message to the balancer at an address.
func (w *world) toGateway(to netip.AddrPort, m director.Msg) {
	for _, g := range w.gateways {
		if g.address == to {
			w.carry(func() { w.direct(g, m) })
		}
	}
}

// note keeps a line about a flow.
func (w *world) note(t flow.Tuple, format string, a ...any) {
	w.log[t] = append(w.log[t], w.now.Format("05.0000 ")+fmt.Sprintf(format, a...))
}

// carry delivers a datagram between instances, or loses it.
func (w *world) carry(do func()) {
	if w.rand.Float64() < w.loss {
		return
	}
	w.later(w.between(200*time.Microsecond, detour), do)
}

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rand.Int64N(int64(b-a)))
}

func (w *world) later(d time.Duration, do func()) {
	w.events = append(w.events, event{
		at: w.now.Add(d),
		do: do,
	})
}

// run lets the world go on for a time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := -1
		for i, e := range w.events {
			if next < 0 || e.at.Before(w.events[next].at) {
				next = i
			}
		}
		if next < 0 || w.events[next].at.After(end) {
			w.now = end
			return
		}
		e := w.events[next]
		w.events[next] = w.events[len(w.events)-1]
		w.events = w.events[:len(w.events)-1]
		w.now = e.at
		e.do()
	}
}

func (w *world) tell(s *station, m holder.Msg) {
	for _, e := range s.model.Update(w.now, m) {
		w.performAgent(s, e)
	}
}

func (w *world) performAgent(s *station, e holder.Effect) {
	switch x := e.(type) {
	case holder.ToBackendEffect:
		p := decodePacket(x.Data)
		w.later(100*time.Microsecond, func() { w.arrive(s, p) })
	case holder.ToCallerEffect:
		p := x.Segment
		w.later(3*time.Millisecond, func() { w.answer(p) })
	case holder.ResetEffect:
		w.reset(x.Tuple, s.name+" "+string(x.Cause))
	case holder.RejectEffect:
		p := x.Segment
		w.note(p.Tuple, "%s rejects: %s", s.name, x.Reason)
		w.toGateway(x.To, director.RejectMsg{
			From:    s.address,
			Reason:  x.Reason,
			Segment: p,
			Data:    encodePacket(p),
		})
	case holder.ReplyEffect:
		for _, t := range x.Held {
			w.note(t, "%s answers held", s.name)
		}
		for _, t := range x.Unheld {
			w.note(t, "%s answers unheld", s.name)
		}
		for _, t := range x.Unsure {
			w.note(t, "%s answers unsure", s.name)
		}
		w.toGateway(x.To, director.ReplyMsg{
			From:   s.address,
			Held:   x.Held,
			Unheld: x.Unheld,
			Unsure: x.Unsure,
		})
	case holder.ReportEffect:
		w.report(s, x.To)
	case holder.RecordEffect:
		life := s.life
		w.later(5*time.Millisecond, func() {
			if s.life == life && !s.down {
				s.recorded = x.Incarnation
				w.tell(s, holder.RecordedMsg(x))
			}
		})
	case holder.ProbeEffect:
		w.probe(s, x.Health)
	}
}

func (w *world) direct(g *gateway, m director.Msg) {
	if g.down {
		return
	}
	for _, e := range g.model.Update(w.now, m) {
		w.performBalancer(g, e)
	}
	if g.model.QueriesPending() {
		m := g.model
		w.later(2*time.Millisecond, func() {
			if g.model == m && m.QueriesPending() {
				w.direct(g, director.FlushMsg{})
			}
		})
	}
}

func (w *world) performBalancer(g *gateway, e director.Effect) {
	switch x := e.(type) {
	case director.DeliverEffect:
		p := decodePacket(x.Data)
		w.note(p.Tuple, "balancer %s sends %b to %s (offer %v)", g.address, p.Flags, x.To, x.Offer)
		w.toStation(x.To, holder.DeliverMsg{
			From:    g.address,
			Service: x.Service,
			Segment: p,
			Data:    encodePacket(p),
		})
	case director.QueryEffect:
		w.toStation(x.To, holder.QueryMsg{
			From:  g.address,
			Flows: x.Flows,
		})
	case director.ReportRequestEffect:
		w.toStation(x.To, holder.ReportRequestMsg{
			From: g.address,
		})
	case director.ListEffect:
		w.list(g)
	case director.ResetEffect:
		w.reset(x.Tuple, string(x.Cause))
	}
}

func (w *world) toStation(to netip.AddrPort, m holder.Msg) {
	w.carry(func() {
		for _, s := range w.stations {
			if s.address == to && !s.down {
				w.tell(s, m)
			}
		}
	})
}
