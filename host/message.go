package host

import (
	"math"
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
)

// serviceConfig returns the configuration of one service. A service that is not declared, or
// whose declaration is malformed, gets the default rate of new flows while it is cold.
func serviceConfig(c *routing.Config, service string) holder.ConfigMsg {
	s, ok := c.Services[service]
	if !ok {
		s.ColdRate = holder.DefaultColdRate
	}
	return holder.ConfigMsg{
		Version:     uint64(c.Version),
		ColdRate:    s.ColdRate,
		MaxFlows:    s.MaxFlows,
		WarmUp:      s.WarmUp,
		IdleTimeout: c.IdleTimeout,
	}
}

func encodeReportRequest(c *routing.Config, e director.ReportRequestEffect) *controlpb.Datagram {
	x := &controlpb.Solicit{
		Costs:    encodeCosts(e.Costs),
		WithLoad: e.WithLoad,
	}
	if c != nil {
		s := serviceConfig(c, e.Service)
		x.ConfigVersion = s.Version
		x.ColdRateMilli = uint64(s.ColdRate * milli)
		x.MaxFlows = uint32(s.MaxFlows)
		x.IdleTimeoutMs = milliseconds(s.IdleTimeout)
		x.WarmUpMs = milliseconds(s.WarmUp)
	}
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Solicit{
			Solicit: x,
		},
	}
}

func decodeReportRequest(from netip.AddrPort, x *controlpb.Solicit) holder.ReportRequestMsg {
	return holder.ReportRequestMsg{
		From: from,
		Declared: holder.ConfigMsg{
			Version:     x.GetConfigVersion(),
			ColdRate:    float64(x.GetColdRateMilli()) / milli,
			MaxFlows:    int(x.GetMaxFlows()),
			WarmUp:      fromMilliseconds(x.GetWarmUpMs()),
			IdleTimeout: fromMilliseconds(x.GetIdleTimeoutMs()),
		},
		Costs:       decodeCosts(x.GetCosts()),
		WithoutLoad: !x.GetWithLoad(),
	}
}

// callerAddress is where packets for the caller of a flow are sent.
func callerAddress(t flow.Tuple, port uint16) netip.AddrPort {
	return flow.AddrPort(t.Caller, port)
}

func encodeQuery(l []holder.QueriedFlow) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Query{
			Query: &controlpb.FlowQuery{
				Flows: encodeQueriedFlows(l),
			},
		},
	}
}

func encodeHints(e director.HintsEffect) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Hints{
			Hints: &controlpb.FlowHints{
				Flows:       encodeQueriedFlows(e.Flows),
				BackendLife: e.BackendIncarnation,
				Handover:    e.Handover,
			},
		},
	}
}

func decodeHints(h *controlpb.FlowHints) holder.HintsMsg {
	return holder.HintsMsg{
		Flows:              decodeQueriedFlows(h.GetFlows()),
		BackendIncarnation: h.GetBackendLife(),
		Handover:           h.GetHandover(),
	}
}

func encodeHandover(e holder.HandoverEffect) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Handover{
			Handover: &controlpb.FlowHandover{
				Flows:       encodeQueriedFlows(e.Flows),
				BackendLife: e.BackendIncarnation,
			},
		},
	}
}

func decodeHandover(from netip.AddrPort, h *controlpb.FlowHandover) director.HandoverMsg {
	return director.HandoverMsg{
		From:               from,
		Flows:              decodeQueriedFlows(h.GetFlows()),
		BackendIncarnation: h.GetBackendLife(),
	}
}

func encodeConfigCheck(e holder.ConfigCheckEffect) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_ConfigCheck{
			ConfigCheck: &controlpb.ConfigCheck{
				ConfigVersion: e.Version,
			},
		},
	}
}

func handoverRequest() *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_HandoverRequest{
			HandoverRequest: &controlpb.HandoverRequest{},
		},
	}
}

func encodeQueriedFlows(l []holder.QueriedFlow) []*controlpb.FlowTuple {
	x := make([]*controlpb.FlowTuple, 0, len(l))
	for _, f := range l {
		t := relay.EncodeFlow(f.Tuple, f.Ack)
		t.Offers = uint32(f.Offers)
		t.Unheld = f.Unheld
		x = append(x, t)
	}
	return x
}

func decodeQueriedFlows(l []*controlpb.FlowTuple) []holder.QueriedFlow {
	x := make([]holder.QueriedFlow, 0, len(l))
	for _, f := range l {
		t, ok := relay.DecodeFlow(f)
		if !ok {
			continue
		}
		x = append(x, holder.QueriedFlow{
			Tuple:  t,
			Ack:    f.GetAck(),
			Offers: decodeOffers(f),
			Unheld: f.GetUnheld(),
		})
	}
	return x
}

// decodeOffers returns the number of offered packets of a flow, capped at the largest value
// of the type.
func decodeOffers(f *controlpb.FlowTuple) uint8 {
	return uint8(min(f.GetOffers(), math.MaxUint8))
}

func decodeQuery(from netip.AddrPort, q *controlpb.FlowQuery) holder.QueryMsg {
	return holder.QueryMsg{
		From:  from,
		Flows: decodeQueriedFlows(q.GetFlows()),
	}
}

func encodeReply(e holder.ReplyEffect) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Answer{
			Answer: &controlpb.FlowAnswer{
				Held:        relay.EncodeFlows(e.Held),
				Unheld:      encodeOfferedFlows(e.Unheld, e.Offers),
				Unsure:      encodeOfferedFlows(e.Unsure, e.Offers),
				BackendLife: e.BackendIncarnation,
			},
		},
	}
}

func encodeOfferedFlows(l []flow.Tuple, offers map[flow.Tuple]uint8) []*controlpb.FlowTuple {
	x := relay.EncodeFlows(l)
	for i, t := range l {
		x[i].Offers = uint32(offers[t])
	}
	return x
}

func decodeReply(from netip.AddrPort, a *controlpb.FlowAnswer) director.ReplyMsg {
	m := director.ReplyMsg{
		From:   from,
		Held:   relay.DecodeFlows(a.GetHeld()),
		Unheld: relay.DecodeFlows(a.GetUnheld()),
		Unsure: relay.DecodeFlows(a.GetUnsure()),

		BackendIncarnation: a.GetBackendLife(),
	}
	for _, l := range [...][]*controlpb.FlowTuple{a.GetUnheld(), a.GetUnsure()} {
		for _, f := range l {
			t, ok := relay.DecodeFlow(f)
			if n := decodeOffers(f); ok && n > 0 {
				if m.Offers == nil {
					m.Offers = map[flow.Tuple]uint8{}
				}
				m.Offers[t] = n
			}
		}
	}
	return m
}

// milli converts fractional numbers to whole thousandths on the wire.
const milli = 1000

func encodeReport(m director.Member, r holder.Report) *controlpb.Datagram {
	return limitRoutes(&controlpb.Datagram{
		Body: &controlpb.Datagram_Report{
			Report: &controlpb.Report{
				Name:          m.Name,
				Service:       m.Service,
				Domain:        m.Domain,
				Incarnation:   m.Incarnation,
				Sequence:      m.Sequence,
				Availability:  availabilities[r.Availability],
				Slots:         r.Slots,
				Flows:         r.Flows,
				BusyMilli:     uint32(r.Busy * milli),
				ColdMs:        uint32(r.ColdFor.Milliseconds()),
				BackendLife:   r.BackendIncarnation,
				UptimeMs:      milliseconds(r.Uptime),
				LatencyMicros: uint32(r.Latency.Microseconds()),
				ConfigVersion: r.ConfigVersion,
				Stopping:      r.Stopping,
				FlowBytes:     r.FlowBytes,

				PlannedRestart: r.PlannedRestart,

				Load:           encodeLoad(r.HasLoad, r.Load),
				FailureMilli:   uint32(r.Failures.Share * milli),
				FailureSamples: uint32(r.Failures.Samples),
			},
		},
	})
}

var availabilities = [...]controlpb.MemberAvailability{
	holder.AvailabilityDown:     controlpb.MemberAvailability_MEMBER_AVAILABILITY_DOWN,
	holder.AvailabilityOpen:     controlpb.MemberAvailability_MEMBER_AVAILABILITY_OPEN,
	holder.AvailabilityDraining: controlpb.MemberAvailability_MEMBER_AVAILABILITY_DRAINING,
	holder.AvailabilityEnded:    controlpb.MemberAvailability_MEMBER_AVAILABILITY_ENDED,
}

func decodeReport(from netip.AddrPort, r *controlpb.Report) director.ReportMsg {
	m := director.ReportMsg{
		Member: director.Member{
			Name:        r.GetName(),
			Address:     from,
			Service:     r.GetService(),
			Domain:      r.GetDomain(),
			Incarnation: r.GetIncarnation(),
			Sequence:    r.GetSequence(),
		},
		Report: holder.Report{
			BackendIncarnation: r.GetBackendLife(),
			Uptime:             time.Duration(r.GetUptimeMs()) * time.Millisecond,
			Slots:              r.GetSlots(),
			Flows:              r.GetFlows(),
			Busy:               float64(r.GetBusyMilli()) / milli,
			ColdFor:            time.Duration(r.GetColdMs()) * time.Millisecond,
			Latency:            time.Duration(r.GetLatencyMicros()) * time.Microsecond,

			Stopping:       r.GetStopping(),
			FlowBytes:      r.GetFlowBytes(),
			PlannedRestart: r.GetPlannedRestart(),
			ConfigVersion:  r.GetConfigVersion(),

			HasLoad: r.GetLoad() != nil,
			Load:    decodeLoad(r.GetLoad()),
			Failures: outlier.Estimate{
				Share:   min(float64(r.GetFailureMilli())/milli, 1),
				Samples: float64(r.GetFailureSamples()),
			},
		},
	}
	for a, x := range availabilities {
		if x == r.GetAvailability() {
			m.Availability = holder.Availability(a)
		}
	}
	return m
}
