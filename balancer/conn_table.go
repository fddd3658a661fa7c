package balancer

import (
	"sync"

	"github.com/lentilshed/lentilshed/control"
)

// connTable maps connections to IDs, by which the model refers to them.
type connTable struct {
	mu    *sync.Mutex
	next  ConnID
	byID  map[ConnID]*control.Conn
	idsOf map[*control.Conn]ConnID
}

func newConnTable() connTable {
	return connTable{
		mu:    &sync.Mutex{},
		byID:  map[ConnID]*control.Conn{},
		idsOf: map[*control.Conn]ConnID{},
	}
}

func (t *connTable) add(c *control.Conn) ConnID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	t.byID[t.next] = c
	t.idsOf[c] = t.next
	return t.next
}

func (t *connTable) remove(c *control.Conn) ConnID {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.idsOf[c]
	delete(t.idsOf, c)
	delete(t.byID, id)
	return id
}

func (t *connTable) id(c *control.Conn) ConnID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idsOf[c]
}

func (t *connTable) conn(id ConnID) *control.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}
