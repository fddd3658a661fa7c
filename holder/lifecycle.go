package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// requestEnd says how a request ended, as far as the packets show.
type requestEnd uint8

const (
	// endResponse means that the backend server has sent a response and that the flow went on
	// to the next request or was closed.
	endResponse requestEnd = iota + 1
	// endReset means that the backend server reset or closed the flow before it sent a
	// response.
	endReset
	// endTimeout means that no response came within requestTimeout.
	endTimeout
	// endAbandoned means that the caller left, or that the backend server ended, before a
	// response.
	endAbandoned
)

// requestStarted is called when the first payload of a request goes to the backend server.
func (m *Model) requestStarted(now time.Time, t flow.Tuple, e *entry) {
	if !m.config.LoadAware {
		return
	}
	m.slotUsed(now, t, e)
	m.costRequestStarted(now, t, e)
	m.outcomeRequestStarted(now, t, e)
}

// responseStarted is called when the backend server sends the first payload of a response.
// outcomeServerPacket decides whether the response is good: it has the sequence numbers, which
// show whether the payload belongs to the response.
func (m *Model) responseStarted(now time.Time, e *entry) {
	if !m.config.LoadAware {
		return
	}
	m.slotFreed(e)
	m.costResponseStarted(now, e)
}

// requestFinished is called once for each started request, when its end is known: with
// endResponse when the next request of the flow comes or the flow ends.
func (m *Model) requestFinished(now time.Time, e *entry, end requestEnd) {
	if !m.config.LoadAware {
		return
	}
	m.slotFreed(e)
	m.costRequestFinished(now, e, end)
	m.outcomeRequestFinished(now, e, end)
}
