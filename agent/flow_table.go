package agent

import (
	"sync"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/tcpstack"
)

// flowTable holds the open ends of local flows, so that they can be cut.
type flowTable struct {
	mu    sync.Mutex
	conns map[flow.Key]*tcpstack.Conn
}

func newFlowTable() *flowTable {
	return &flowTable{
		conns: map[flow.Key]*tcpstack.Conn{},
	}
}

func (t *flowTable) add(k flow.Key, c *tcpstack.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[k] = c
}

func (t *flowTable) remove(k flow.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, k)
}

// end resets a flow towards its caller.
func (t *flowTable) end(k flow.Key) {
	t.mu.Lock()
	c := t.conns[k]
	t.mu.Unlock()
	if c != nil {
		c.Abort()
	}
}
