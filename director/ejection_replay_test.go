package director_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// ejectionReplay joins a load-aware balancer with the agents of a service. Each flow carries one
// request. Backend servers fail as a data file says.
type ejectionReplay struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Time
	start    time.Time
	events   timedEvents
	balancer *director.Model
	servers  []*replayServer
	flows    int
	// rate is the number of flows a second.
	rate int
	// costs is set if agents report the length of responses, and get the service-wide costs that
	// the balancer sends.
	costs  bool
	result map[string]int
	log    strings.Builder
}

// replayServer is an agent and its backend server. fault is the way in which a part of the
// requests fails: "error", "reset", "silence", or "shed" for those beyond limit.
type replayServer struct {
	member      director.Member
	agent       *holder.Model
	incarnation uint64
	bytes, ms   int
	fault       string
	percent     int
	limit, busy int
	draining    bool
	coldUntil   time.Time
}

const (
	replaySlots = 40
	replayHop   = time.Millisecond
)

var replayBalancer = netip.MustParseAddrPort("10.1.0.10:7720")

// TestEjection replays failures of backend servers from data files. A run prints when targets
// were ejected and returned by the balancer, the shares of the flows of each outcome, and the
// part of the flows that servers with a fault got.
func TestEjection(t *testing.T) {
	datadriven.Walk(t, "testdata/ejection", func(t *testing.T, path string) {
		r := &ejectionReplay{
			t:     t,
			rand:  rand.New(rand.NewPCG(1, 1)),
			start: time.Unix(1_800_000_000, 0),
		}
		r.now = r.start
		datadriven.RunTest(t, path, func(t *testing.T, x *datadriven.TestData) string {
			r.log.Reset()
			switch x.Cmd {
			case "service":
				r.setUp(t, x)
			case "run":
				d, err := time.ParseDuration(x.CmdArgs[0].Key)
				require.NoError(t, err)
				r.run(d)
			default:
				r.change(t, x)
			}
			return r.log.String()
		})
	})
}

func replayNumber(t *testing.T, x *datadriven.TestData, key string) int {
	n := 0
	x.MaybeScanArgs(t, key, &n)
	return n
}

func (r *ejectionReplay) setUp(t *testing.T, x *datadriven.TestData) {
	r.rate = replayNumber(t, x, "rate")
	r.costs = x.HasArg("costs")
	r.balancer = director.NewModel(director.Config{
		Name:      "balancer",
		Domain:    "domain-a",
		Placement: placement.DefaultConfig(),
		LoadAware: true,
	}, r.now)
	r.updateBalancer(configOf(1, testService))
	for i := range replayNumber(t, x, "targets") {
		s := &replayServer{
			member: director.Member{
				Name:        fmt.Sprintf("side-%02d", i),
				Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 8172),
				Service:     testService,
				Domain:      "domain-a",
				Incarnation: 1,
			},
			agent: holder.NewModel(holder.Config{
				Service:   testService,
				Balancers: []netip.AddrPort{replayBalancer},
				LoadAware: true,
			}, r.now),
			bytes: replayNumber(t, x, "bytes"),
			ms:    replayNumber(t, x, "ms"),
		}
		r.servers = append(r.servers, s)
		r.updateAgent(s, holder.ConfigMsg{
			Version:     1,
			IdleTimeout: 15 * time.Second,
		})
		r.updateAgent(s, holder.EarlierRecordMsg{})
		r.replace(s)
	}
	r.heartbeat()
	r.tick()
}

// change applies a command to the first servers, or to those from another one on.
func (r *ejectionReplay) change(t *testing.T, x *datadriven.TestData) {
	first := replayNumber(t, x, "from")
	for _, s := range r.servers[first : first+max(1, replayNumber(t, x, "servers"))] {
		switch x.Cmd {
		case "heal":
			s.fault = ""
		case "drain":
			s.draining = true
		case "replace":
			s.coldUntil = r.now.Add(time.Duration(replayNumber(t, x, "cold_ms")) * time.Millisecond)
			if x.HasArg("bytes") {
				s.bytes = replayNumber(t, x, "bytes")
			}
			if x.HasArg("ms") {
				s.ms = replayNumber(t, x, "ms")
			}
			r.replace(s)
		default:
			s.fault = x.Cmd
			s.percent = replayNumber(t, x, "percent")
			s.limit = replayNumber(t, x, "limit")
		}
	}
}

// replace starts the backend server anew.
func (r *ejectionReplay) replace(s *replayServer) {
	s.incarnation++
	s.draining = false
	s.busy = 0
	r.beat(s)
	r.updateAgent(s, holder.RecordedMsg{
		Incarnation: s.incarnation,
	})
}

func (r *ejectionReplay) beat(s *replayServer) {
	r.updateAgent(s, holder.HeartbeatMsg{
		ID:          "server",
		Incarnation: s.incarnation,
		Sequence:    1 + uint64(r.now.Sub(r.start)/time.Second),
		Slots:       replaySlots,
		Draining:    s.draining,
		ColdFor:     max(0, s.coldUntil.Sub(r.now)),
	})
}

func (r *ejectionReplay) heartbeat() {
	for _, s := range r.servers {
		r.beat(s)
	}
	r.after(time.Second, r.heartbeat)
}

func (r *ejectionReplay) tick() {
	r.updateBalancer(director.TickMsg{})
	for _, s := range r.servers {
		r.updateAgent(s, holder.TickMsg{})
	}
	r.after(tickInterval, r.tick)
}

func (r *ejectionReplay) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{
		at: r.now.Add(d),
		do: do,
	})
}

func (r *ejectionReplay) run(d time.Duration) {
	end := r.now.Add(d)
	r.result = map[string]int{}
	var next func()
	next = func() {
		if r.now.After(end) {
			return
		}
		r.flows++
		r.packet(segment.Segment{
			Tuple: flow.Tuple{
				Caller:      testFlow.Caller + uint32(r.flows>>14),
				CallerPort:  uint16(1024 + r.flows&0x3fff),
				Address:     testAddress.Host,
				AddressPort: testAddress.Port,
			},
			Flags:    segment.Syn,
			Sequence: 1 + uint32(r.flows),
		})
		r.after(time.Duration(r.rand.ExpFloat64()/float64(r.rate)*float64(time.Second)), next)
	}
	next()
	for r.now.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	total := max(r.result["flows"], 1)
	fmt.Fprintf(&r.log, "failed %.0f%%, at servers with a fault %.0f%%, refused %d",
		100*float64(r.result["failed"])/float64(total), 100*float64(r.result["faulty"])/float64(total), r.result["refused"])
}

func (r *ejectionReplay) packet(p segment.Segment) {
	r.updateBalancer(director.PacketMsg{
		Segment: p,
		Data:    encodePacket(p),
	})
}

func (r *ejectionReplay) updateBalancer(msg director.Msg) {
	for _, e := range r.balancer.Update(r.now, msg) {
		switch x := e.(type) {
		case director.DeliverEffect:
			p := decodePacket(x.Data)
			s := r.servers[x.To.Addr().As4()[3]]
			r.after(replayHop, func() {
				r.updateAgent(s, holder.DeliverMsg{
					From:    replayBalancer,
					Service: x.Service,
					Class:   x.Class,
					Segment: p,
					Data:    encodePacket(p),
				})
			})
		case director.ReportRequestEffect:
			s := r.servers[x.To.Addr().As4()[3]]
			m := holder.ReportRequestMsg{
				From: replayBalancer,
			}
			if r.costs {
				m.Costs = x.Costs
			}
			r.after(replayHop, func() { r.updateAgent(s, m) })
		case director.ResetEffect:
			r.result["refused"]++
		case director.LogEffect:
			if strings.Contains(x.Event, "ejected") {
				event, _, _ := strings.Cut(x.Event, ",")
				fmt.Fprintf(&r.log, "%.1fs: %s %s at %d%%\n", r.now.Sub(r.start).Seconds(), x.Member, event, x.Count)
			}
		}
	}
}

func (r *ejectionReplay) updateAgent(s *replayServer, msg holder.Msg) {
	for _, e := range s.agent.Update(r.now, msg) {
		switch x := e.(type) {
		case holder.ToBackendEffect:
			r.atServer(s, decodePacket(x.Data))
		case holder.RejectEffect:
			m := director.RejectMsg{
				From:    s.member.Address,
				Reason:  x.Reason,
				Segment: x.Segment,
				Data:    encodePacket(x.Segment),
			}
			r.after(replayHop, func() { r.updateBalancer(m) })
		case holder.ReportEffect:
			s.member.Sequence++
			m := director.ReportMsg{
				Member: s.member,
				Report: s.agent.Report(r.now),
			}
			if !r.costs {
				for i := range m.Load.Routes {
					m.Load.Routes[i].ResponseBytes = 0
				}
			}
			r.after(replayHop, func() { r.updateBalancer(m) })
		}
	}
}

// atServer accepts a flow or starts on its request.
func (r *ejectionReplay) atServer(s *replayServer, p segment.Segment) {
	switch {
	case p.Initial():
		r.answer(s, p, segment.Syn|segment.Ack, 0, 0)
		r.after(3*replayHop, func() {
			r.packet(segment.Segment{
				Tuple:    p.Tuple,
				Flags:    segment.Ack,
				Sequence: p.Sequence + 1,
				Ack:      501,
				Length:   100,
			})
		})
	case p.Length > 0:
		r.request(s, p)
	}
}

func (r *ejectionReplay) request(s *replayServer, p segment.Segment) {
	r.result["flows"]++
	if s.fault != "" {
		r.result["faulty"]++
	}
	if s.fault != "" && (s.fault == "shed" && s.busy >= s.limit || r.rand.IntN(100) < s.percent) {
		r.result["failed"]++
		switch s.fault {
		case "error", "shed":
			r.answer(s, p, segment.Ack|segment.Fin, 100+r.rand.IntN(200), 1500*time.Microsecond)
		case "reset":
			r.answer(s, p, segment.Rst, 0, time.Millisecond)
		}
		return
	}
	d := time.Duration(s.ms) * time.Millisecond
	if r.now.Before(s.coldUntil) {
		d *= 8
	}
	s.busy++
	d = time.Duration(float64(d) * (0.5 + r.rand.ExpFloat64()/2))
	r.after(d, func() { s.busy = max(0, s.busy-1) })
	r.answer(s, p, segment.Ack|segment.Fin, s.bytes, d)
}

// answer sends a packet of the backend server, and the caller closes its flow after a FIN.
func (r *ejectionReplay) answer(s *replayServer, p segment.Segment, f segment.Flags, bytes int, d time.Duration) {
	incarnation := s.incarnation
	r.after(d, func() {
		if s.incarnation != incarnation {
			return
		}
		a := segment.Segment{
			Tuple:    p.Tuple,
			Flags:    f,
			Sequence: p.Ack,
			Ack:      p.Sequence + uint32(p.Length),
			Length:   uint16(bytes),
		}
		if a.Has(segment.Syn) {
			a.Sequence = 500
			a.Ack = p.Sequence + 1
		}
		r.updateAgent(s, holder.OutboundMsg{
			Segment: a,
			Data:    encodePacket(a),
		})
		if a.Has(segment.Fin) {
			r.packet(segment.Segment{
				Tuple:    p.Tuple,
				Flags:    segment.Ack | segment.Fin,
				Sequence: a.Ack,
				Ack:      a.Sequence + uint32(bytes) + 1,
			})
		}
	})
}
