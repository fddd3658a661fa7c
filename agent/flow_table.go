package agent

import (
	"sync"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/tcpstack"
)

// flowTable holds the connections of local flows, so that they can be aborted.
type flowTable struct {
	mu      sync.Mutex
	entries map[flow.Key]*flowEntry
}

// flowEntry is one local flow; its connection is nil during the handshake.
type flowEntry struct {
	conn    *tcpstack.Conn
	aborted bool
}

func newFlowTable() *flowTable {
	return &flowTable{
		entries: map[flow.Key]*flowEntry{},
	}
}

// add records a flow whose handshake begins.
func (t *flowTable) add(k flow.Key) *flowEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &flowEntry{}
	t.entries[k] = e
	return e
}

// attach adds the connection and reports whether the flow may continue; it may
// not once it was aborted.
func (t *flowTable) attach(e *flowEntry, c *tcpstack.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.conn = c
	return !e.aborted
}

// remove removes a connection that has ended. It returns false when the caller
// has opened another one from the same port in the meantime: that flow
// continues.
func (t *flowTable) remove(k flow.Key, e *flowEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[k] != e {
		return false
	}
	delete(t.entries, k)
	return true
}

// describe describes the connection of a flow as the TCP stack sees it.
func (t *flowTable) describe(k flow.Key) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return "no connection"
	}
	if e.conn == nil {
		return "handshake under way"
	}
	return e.conn.Describe()
}

// abort resets a flow towards its caller, at once or after its handshake.
func (t *flowTable) abort(k flow.Key) {
	t.mu.Lock()
	e := t.entries[k]
	var c *tcpstack.Conn
	if e != nil {
		e.aborted = true
		c = e.conn
	}
	t.mu.Unlock()
	if c != nil {
		c.Abort()
	}
}
