package tcpstack

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// ErrHandshake is returned when a caller did not complete its handshake.
var ErrHandshake = errors.New("handshake did not complete")

// Request is a new flow that waits for Accept or Refuse.
type Request struct {
	From    netip.AddrPort
	To      netip.AddrPort
	stack   *Stack
	request *tcp.ForwarderRequest
}

// Accept completes the handshake and returns the open flow.
func (r *Request) Accept() (*Conn, error) {
	var q waiter.Queue
	e, err := r.request.CreateEndpoint(&q)
	r.request.Complete(false)
	if err != nil {
		return nil, errors.Wrap(ErrHandshake, err.String())
	}
	r.stack.enableKeepAlive(e)
	return newConn(&q, e), nil
}

// Refuse answers the caller with a reset.
func (r *Request) Refuse() {
	r.request.Complete(true)
}

// Conn is one open flow.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

// Abort ends the flow with a reset to the caller.
func (c *Conn) Abort() {
	c.endpoint.Abort()
}

// Describe describes the flow in one line, as the stack sees it.
func (c *Conn) Describe() string {
	st, ok := c.endpoint.Stats().(*tcp.Stats)
	if !ok {
		return "no statistics"
	}
	return fmt.Sprintf("state %s, segments received %d, sent %d, retransmitted %d, timeouts %d, receive errors %d",
		tcp.EndpointState(c.endpoint.State()), st.SegmentsReceived.Value(), st.SegmentsSent.Value(),
		st.SendErrors.Retransmits.Value(), st.SendErrors.Timeouts.Value(), st.ReceiveErrors.SegmentQueueDropped.Value())
}
