package agent

import (
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
	"github.com/lentilshed/lentilshed/tcpstack"
	"go.opentelemetry.io/otel/attribute"
)

// perform executes one effect.
func (r *Runtime) perform(e Effect) {
	switch x := e.(type) {
	case DeliverEffect:
		r.stack.Inject(x.Data)
	case ForwardEffect:
		r.forward(x)
	case ResetEffect:
		r.output(tcpstack.Reset(x.Data))
	case DropEffect:
		r.drops[x.Reason].Inc(1)
	case EndFlowEffect:
		r.flows.abort(x.Key)
	case SyncEffect:
		r.sendSync(x)
	case SyncRequestEffect:
		r.sendToPeer(x.To, &controlpb.Envelope{
			Body: &controlpb.Envelope_SyncRequest{
				SyncRequest: &controlpb.SyncRequest{
					Target: string(r.config.Config.Self),
					Vector: vectorMessage(x.Vector),
					Full:   x.Full,
				},
			},
		})
	case RegisterEffect:
		r.sendRegister(x)
	case ReserveEffect:
		r.sendReserve(x)
	case ReleaseEffect:
		r.sendToPeer(x.To, &controlpb.Envelope{
			Body: &controlpb.Envelope_Release{
				Release: &controlpb.Release{
					Target: string(r.config.Config.Self),
					Flow:   keyMessage(x.Key),
				},
			},
		})
	case ReservedEffect:
		r.sendToPeer(x.To, &controlpb.Envelope{
			Body: &controlpb.Envelope_Reserved{
				Reserved: &controlpb.Reserved{
					Target:   string(r.config.Config.Self),
					Flow:     keyMessage(x.Key),
					Admitted: x.Admitted,
				},
			},
		})
	case LoadEffect:
		r.sendLoad(x)
	case RequestTableEffect:
		r.requestTable()
	}
}

func (r *Runtime) forward(x ForwardEffect) {
	t, ok := r.model.table.Find(x.To)
	if !ok {
		r.drops[packet.ReasonNoTarget].Inc(1)
		return
	}
	if i, reason := packet.ParseInner(x.Data); x.Meta.Sampled && reason == packet.ReasonNone {
		r.recordHop("agent.forward", &i, &x.Meta, attribute.String("next_hop", string(x.To)))
	}
	r.outMu.Lock()
	defer r.outMu.Unlock()
	d, reason := r.outCodec.Encode(&x.Meta, x.Data)
	if reason != packet.ReasonNone {
		r.drops[reason].Inc(1)
		return
	}
	if r.config.Send(r.socket, d, t.PacketAddress) != nil {
		r.drops[packet.ReasonSendFailed].Inc(1)
	}
}

// recordHop records a span of a sampled flow. The trace ID comes from the flow
// alone, so that the spans of balancers and agents join up.
func (r *Runtime) recordHop(name string, i *packet.Inner, m *packet.Meta, more ...attribute.KeyValue) {
	more = append(more, attribute.String("flow", i.Key.String()), attribute.Int("hops", int(m.Hops)))
	r.config.Tracer.RecordHop(i.Key.TraceID(m.Service), name, more...)
}

func (r *Runtime) sendSync(x SyncEffect) {
	r.sendToPeer(x.To, &controlpb.Envelope{
		Body: &controlpb.Envelope_Sync{
			Sync: &controlpb.Sync{
				Target:      string(r.config.Config.Self),
				Incarnation: uint64(r.config.Config.Incarnation),
				Vector:      vectorMessage(x.Vector),
				Flows:       keyMessages(x.Flows),
				Full:        x.Full,
			},
		},
	})
}

// sendReserve offers a flow to a peer; an unreachable peer counts as having
// refused it.
func (r *Runtime) sendReserve(x ReserveEffect) {
	sent := r.sendToPeer(x.To, &controlpb.Envelope{
		Body: &controlpb.Envelope_Reserve{
			Reserve: &controlpb.Reserve{
				Target: string(r.config.Config.Self),
				Flow:   keyMessage(x.Key),
				Vector: vectorMessage(x.Vector),
			},
		},
	})
	if !sent {
		r.followUps = append(r.followUps, ReservedMsg{
			From: x.To,
			Key:  x.Key,
		})
	}
}

func (r *Runtime) sendRegister(x RegisterEffect) {
	r.sendToPeer(x.To, &controlpb.Envelope{
		Body: &controlpb.Envelope_Register{
			Register: &controlpb.Register{
				Target: string(r.config.Config.Self),
				Opened: keyMessages(x.Opened),
				Ended:  keyMessages(x.Ended),
			},
		},
	})
}

// loadFanout bounds the number of peers that one load report is sent to. In a
// larger service each report reaches different peers, as the order of a map is
// random.
const loadFanout = 16

func (r *Runtime) sendLoad(x LoadEffect) {
	e := &controlpb.Envelope{
		Body: &controlpb.Envelope_Load{
			Load: &controlpb.Load{
				Target: string(r.config.Config.Self),
				Active: x.Active,
				Limit:  x.Limit,
				Vector: vectorMessage(r.model.Vector()),
			},
		},
	}
	n := 0
	for id := range r.dialed {
		if n++; n > loadFanout {
			return
		}
		r.sendToPeer(id, e)
	}
}

// sendToPeer sends on the connection that this agent dialed, and reports
// whether it could. A message that is not sent is lost; the peer notices the
// broken connection and requests the complete list.
func (r *Runtime) sendToPeer(id target.ID, e *controlpb.Envelope) bool {
	c := r.dialed[id]
	return c != nil && c.Send(e)
}

func vectorMessage(v service.Vector) *controlpb.Vector {
	return &controlpb.Vector{
		Intent: v.Intent,
		Roster: v.Roster,
	}
}

func keyMessages(keys []flow.Key) []*controlpb.FlowKey {
	l := make([]*controlpb.FlowKey, 0, len(keys))
	for _, k := range keys {
		l = append(l, keyMessage(k))
	}
	return l
}

func keyMessage(k flow.Key) *controlpb.FlowKey {
	return &controlpb.FlowKey{
		Source:     k.Source,
		SourcePort: uint32(k.Port),
	}
}
