package agent

import (
	"sync"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/tcpstack"
)

// flowTable holds the ends of local flows, so that they can be cut.
type flowTable struct {
	mu   sync.Mutex
	ends map[flow.Key]*flowEnd
}

// flowEnd is one local flow; its connection is nil during the handshake.
type flowEnd struct {
	conn *tcpstack.Conn
	cut  bool
}

func newFlowTable() *flowTable {
	return &flowTable{
		ends: map[flow.Key]*flowEnd{},
	}
}

// open notes a flow whose handshake begins.
func (t *flowTable) open(k flow.Key) *flowEnd {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &flowEnd{}
	t.ends[k] = e
	return e
}

// attach adds the connection and reports whether the flow may go on.
func (t *flowTable) attach(e *flowEnd, c *tcpstack.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.conn = c
	return !e.cut
}

// remove forgets a connection that has ended. It reports false when the caller
// has opened another one from the same port meanwhile: that flow goes on.
func (t *flowTable) remove(k flow.Key, e *flowEnd) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ends[k] != e {
		return false
	}
	delete(t.ends, k)
	return true
}

// describe says how the stack sees a flow.
func (t *flowTable) describe(k flow.Key) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ends[k]
	if e == nil {
		return "no connection"
	}
	if e.conn == nil {
		return "handshake under way"
	}
	return e.conn.Describe()
}

// end resets a flow towards its caller, at once or after its handshake.
func (t *flowTable) end(k flow.Key) {
	t.mu.Lock()
	e := t.ends[k]
	var c *tcpstack.Conn
	if e != nil {
		e.cut = true
		c = e.conn
	}
	t.mu.Unlock()
	if c != nil {
		c.Abort()
	}
}
