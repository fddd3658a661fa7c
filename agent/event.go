package agent

import (
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Messages that only the runtime handles.
type (
	uplinkOpenedMsg struct {
		conn *control.Conn
	}
	uplinkClosedMsg struct {
		conn *control.Conn
	}
	uplinkMsg struct {
		conn     *control.Conn
		envelope *controlpb.Envelope
	}
	peerOpenedMsg struct {
		conn *control.Conn
	}
	peerClosedMsg struct {
		conn *control.Conn
	}
	leaveMsg struct{}
	goneMsg  struct{}
)

// handleEvent handles events of the connections and of the runtime, and passes
// all other messages to the model.
func (r *Runtime) handleEvent(m Msg) {
	switch x := m.(type) {
	case uplinkOpenedMsg:
		r.uplinkConn = x.conn
		r.selector.opened()
		r.announce()
	case uplinkClosedMsg:
		if r.uplinkConn == x.conn {
			r.uplinkConn = nil
			r.selector.closed(r.config.Now())
		}
	case uplinkMsg:
		r.handleUplink(x)
	case peerOpenedMsg:
		r.handlePeerOpened(x.conn)
	case peerClosedMsg:
		r.handlePeerClosed(x.conn)
	case leaveMsg:
		r.leaving = true
		r.update(StopMsg{})
		r.announce()
	case describeFlowMsg:
		x.reply <- r.model.DescribeFlow(x.key)
	case goneMsg:
		r.gone = true
		r.announce()
	default:
		r.update(m)
	}
}

// handleUplink merges the declared state and the roster that the balancer
// sends.
func (r *Runtime) handleUplink(x uplinkMsg) {
	if x.conn != r.uplinkConn {
		return
	}
	changed := false
	var err error
	switch e := x.envelope.GetBody().(type) {
	case *controlpb.Envelope_Intent:
		changed, err = r.replica.MergeIntent(e.Intent)
	case *controlpb.Envelope_Roster:
		changed, err = r.replica.MergeRoster(e.Roster)
	}
	if errors.Is(err, intent.ErrGap) || errors.Is(err, roster.ErrGap) {
		r.requestTable()
	}
	if changed {
		r.adopt()
	}
}

// adopt passes the newest table to the model and connects to its peers.
func (r *Runtime) adopt() {
	if r.replica.Fenced() {
		r.update(FencedMsg{})
		return
	}
	t, ok := r.replica.Table()
	if !ok {
		return
	}
	r.connectPeers(t.Table)
	r.update(t)
	r.publishState()
	r.announce()
}

func (r *Runtime) connectPeers(t *service.Table) {
	var addresses []string
	for i := range t.Targets {
		if x := &t.Targets[i]; x.ID != r.config.Config.Self {
			addresses = append(addresses, x.ControlAddress)
		}
	}
	r.peers.SetAddresses(addresses)
}

// handlePeerOpened replaces the connection of a peer. Messages on an earlier inbound
// connection may be lost, so the peer must list its flows again.
func (r *Runtime) handlePeerOpened(c *control.Conn) {
	id := target.ID(c.Peer.GetName())
	if c.Dialed {
		r.dialed[id] = c
		return
	}
	r.inbound[id] = c
	r.update(PeerLostMsg{
		From: id,
	})
}

func (r *Runtime) handlePeerClosed(c *control.Conn) {
	id := target.ID(c.Peer.GetName())
	if c.Dialed && r.dialed[id] == c {
		delete(r.dialed, id)
		r.update(PeerUnreachableMsg{
			To: id,
		})
	}
	if !c.Dialed && r.inbound[id] == c {
		delete(r.inbound, id)
		r.update(PeerLostMsg{
			From: id,
		})
	}
}

func (r *Runtime) uplinkHandler() control.Handler {
	return control.Handler{
		Hello: func() *controlpb.Hello { return r.hello("agent") },
		Bytes: &r.bytes,
		Open: func(c *control.Conn) {
			r.post(uplinkOpenedMsg{
				conn: c,
			})
		},
		Message: func(c *control.Conn, e *controlpb.Envelope) {
			r.post(uplinkMsg{
				conn:     c,
				envelope: e,
			})
		},
		Close: func(c *control.Conn) {
			r.post(uplinkClosedMsg{
				conn: c,
			})
		},
	}
}

func (r *Runtime) peerHandler(dialed bool) control.Handler {
	return control.Handler{
		Hello: func() *controlpb.Hello { return r.hello("peer") },
		Bytes: &r.bytes,
		Open: func(c *control.Conn) {
			r.post(peerOpenedMsg{
				conn: c,
			})
		},
		Message: func(c *control.Conn, e *controlpb.Envelope) {
			if m := peerMessage(target.ID(c.Peer.GetName()), e); m != nil && !dialed {
				r.post(m)
			}
		},
		Close: func(c *control.Conn) {
			r.post(peerClosedMsg{
				conn: c,
			})
		},
	}
}

// peerMessage converts a message of another agent; it returns nil for an
// unknown one.
func peerMessage(from target.ID, e *controlpb.Envelope) Msg {
	switch x := e.GetBody().(type) {
	case *controlpb.Envelope_SyncRequest:
		return SyncRequestMsg{
			From:   from,
			Vector: vectorOf(x.SyncRequest.GetVector()),
			Full:   x.SyncRequest.GetFull(),
		}
	case *controlpb.Envelope_Sync:
		return SyncMsg{
			From:   from,
			Vector: vectorOf(x.Sync.GetVector()),
			Flows:  keysOf(x.Sync.GetFlows()),
			Full:   x.Sync.GetFull(),
		}
	case *controlpb.Envelope_Register:
		return RegisterMsg{
			From:   from,
			Opened: keysOf(x.Register.GetOpened()),
			Ended:  keysOf(x.Register.GetEnded()),
		}
	case *controlpb.Envelope_Reserve:
		return ReserveMsg{
			From:   from,
			Key:    keyOf(x.Reserve.GetFlow()),
			Vector: vectorOf(x.Reserve.GetVector()),
		}
	case *controlpb.Envelope_Reserved:
		return ReservedMsg{
			From:     from,
			Key:      keyOf(x.Reserved.GetFlow()),
			Admitted: x.Reserved.GetAdmitted(),
		}
	case *controlpb.Envelope_Release:
		return ReleaseMsg{
			From: from,
			Key:  keyOf(x.Release.GetFlow()),
		}
	case *controlpb.Envelope_Load:
		return LoadMsg{
			From:   from,
			Active: x.Load.GetActive(),
			Limit:  x.Load.GetLimit(),
		}
	}
	return nil
}

func vectorOf(v *controlpb.Vector) service.Vector {
	return service.Vector{
		Intent: v.GetIntent(),
		Roster: v.GetRoster(),
	}
}

func keysOf(l []*controlpb.FlowKey) []flow.Key {
	keys := make([]flow.Key, 0, len(l))
	for _, k := range l {
		keys = append(keys, keyOf(k))
	}
	return keys
}

func keyOf(k *controlpb.FlowKey) flow.Key {
	return flow.Key{
		Source: k.GetSource(),
		Port:   uint16(k.GetSourcePort()),
	}
}
