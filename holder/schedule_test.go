package holder_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scheduleOverdue is the time after which a request without a response no longer counts, and
// scheduleTimeout the timeout of all requests.
const (
	scheduleOverdue = 400 * time.Millisecond
	scheduleTimeout = 1200 * time.Millisecond
)

// responseLength is the payload of each response.
const responseLength = 10

// scheduleFlow is a flow as the test sees it.
type scheduleFlow struct {
	number int
	// next is the sequence number of the caller's next payload, and sent has its packets.
	next uint32
	sent []segment.Segment
	// held has the packets that wait since heldAt, in order.
	held   []segment.Segment
	heldAt time.Time
	// passed is the sequence number after the payload at the backend server, which works on
	// a request since runningAt, and has answered one if answered is set.
	passed    uint32
	runningAt time.Time
	answered  bool
	lost      bool
	// responded is the length of all responses of the backend server.
	responded uint32
}

// scheduleWorld drives a model with the packets of some flows, and checks what becomes of each.
type scheduleWorld struct {
	t           *rapid.T
	script      *script
	flows       []*scheduleFlow
	opened      int
	incarnation int
	sequence    int
	unlimited   bool
}

// TestEveryHeldPacketLeaves guards against packets that the queue loses, repeats or puts out of
// order, and against requests that wait while a slot is free.
func TestEveryHeldPacketLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &scheduleWorld{
			t:           t,
			script:      newScript(false),
			incarnation: 5,
			sequence:    1,
		}
		w.script.startLoadAware(queue.Limits{
			Packets: rapid.IntRange(1, 12).Draw(t, "packets"),
		}, rapid.IntRange(1, 3).Draw(t, "slots"), 0, 0)
		for range rapid.IntRange(2, 6).Draw(t, "flows") {
			w.flows = append(w.flows, w.open())
		}
		pick := func() *scheduleFlow { return rapid.SampledFrom(w.flows).Draw(w.t, "flow") }
		t.Repeat(map[string]func(*rapid.T){
			"send":       func(*rapid.T) { w.send(pick()) },
			"send2":      func(*rapid.T) { w.send(pick()) },
			"retransmit": func(*rapid.T) { w.retransmit(pick()) },
			"reset":      func(*rapid.T) { w.reset(pick(), rapid.Bool().Draw(w.t, "backend")) },
			"answer":     func(*rapid.T) { w.answer(pick()) },
			"answer2":    func(*rapid.T) { w.answer(pick()) },
			"repeat":     func(*rapid.T) { w.repeat(pick()) },
			"ack": func(*rapid.T) {
				f := pick()
				w.deliver(f, segment.Segment{
					Sequence: f.next,
				})
			},
			"tick":      func(*rapid.T) { w.pass(10, 500) },
			"heartbeat": func(*rapid.T) { w.heartbeat(rapid.IntRange(0, 9).Draw(w.t, "restart") == 0) },
			"stop": func(*rapid.T) {
				if rapid.IntRange(0, 19).Draw(w.t, "stop") == 0 {
					w.unlimited = true
					w.update(holder.StopMsg{}, nil, segment.Segment{})
				}
			},
		})
	})
}

func (w *scheduleWorld) open() *scheduleFlow {
	w.opened++
	f := &scheduleFlow{
		number: w.opened,
		next:   0xffffff00,
		passed: 0xffffff00,
	}
	w.update(holder.OutboundMsg{
		Segment: segment.Segment{
			Tuple: scriptFlow(f.number),
			Flags: segment.Ack,
		},
	}, nil, segment.Segment{})
	return f
}

func (w *scheduleWorld) deliver(f *scheduleFlow, s segment.Segment) {
	s.Tuple = scriptFlow(f.number)
	s.Flags |= segment.Ack
	w.update(holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Class: routing.Class{
			Priority: routing.Priority(f.number % 3),
			Timeout:  scheduleTimeout,
		},
		Segment: s,
		Data:    packetData(s),
	}, f, s)
}

func (w *scheduleWorld) send(f *scheduleFlow) {
	s := segment.Segment{
		Sequence: f.next,
		Length:   uint16(rapid.IntRange(1, 100).Draw(w.t, "length")),
	}
	f.next += uint32(s.Length)
	f.sent = append(f.sent, s)
	w.deliver(f, s)
}

func (w *scheduleWorld) retransmit(f *scheduleFlow) {
	if len(f.sent) > 0 {
		w.deliver(f, rapid.SampledFrom(f.sent).Draw(w.t, "packet"))
	}
}

// reset ends a flow from either side, and opens another one in its place.
func (w *scheduleWorld) reset(f *scheduleFlow, backend bool) {
	s := segment.Segment{
		Tuple:    scriptFlow(f.number),
		Flags:    segment.Rst,
		Sequence: f.next,
	}
	f.held = nil
	f.runningAt = time.Time{}
	if backend {
		w.update(holder.OutboundMsg{
			Segment: s,
		}, nil, segment.Segment{})
	} else {
		w.deliver(f, s)
	}
	w.flows[slices.Index(w.flows, f)] = w.open()
}

func (w *scheduleWorld) answer(f *scheduleFlow) {
	if !f.runningAt.IsZero() {
		f.answered = true
		f.runningAt = time.Time{}
	}
	f.responded += responseLength
	w.repeat(f)
}

// repeat sends the latest response again, which ends no request.
func (w *scheduleWorld) repeat(f *scheduleFlow) {
	if f.responded == 0 {
		return
	}
	w.update(holder.OutboundMsg{
		Segment: segment.Segment{
			Tuple:    scriptFlow(f.number),
			Flags:    segment.Ack,
			Sequence: f.responded - responseLength,
			Length:   responseLength,
		},
	}, nil, segment.Segment{})
}

func (w *scheduleWorld) pass(least, most int) {
	w.script.now = w.script.now.Add(time.Duration(rapid.IntRange(least, most).Draw(w.t, "ms")) * time.Millisecond)
	w.update(holder.TickMsg{}, nil, segment.Segment{})
}

// heartbeat sends the next heartbeat of the backend server, or the first one after a restart.
func (w *scheduleWorld) heartbeat(restart bool) {
	defer func() {
		for i, f := range w.flows {
			if f.lost {
				w.flows[i] = w.open()
			}
		}
	}()
	w.sequence++
	if restart {
		w.incarnation++
		w.sequence = 1
	}
	w.update(holder.HeartbeatMsg{
		ID:          "i-1",
		Incarnation: uint64(w.incarnation),
		Sequence:    uint64(w.sequence),
		Slots:       w.script.slots,
	}, nil, segment.Segment{})
	w.update(holder.RecordedMsg{
		Incarnation: uint64(w.incarnation),
	}, nil, segment.Segment{})
}

// update sends a message, and checks the effects. f and s are the flow and the segment if it is
// a packet of a caller.
func (w *scheduleWorld) update(m holder.Msg, f *scheduleFlow, s segment.Segment) {
	own := false
	var lost []flow.Tuple
	for _, e := range w.script.model.Update(w.script.now, m) {
		switch x := e.(type) {
		case holder.ResetEffect:
			lost = append(lost, x.Tuple)
		case holder.ToBackendEffect:
			if f != nil && !own && string(x.Data) == string(packetData(s)) && (len(f.held) == 0 || f.held[0] != s) {
				own = true
				w.passedOn(f, s)
			} else {
				w.left(string(x.Data))
			}
		}
	}
	if f != nil && !own && s.Length > 0 {
		w.keep(f, s)
	}
	for _, t := range lost {
		w.lose(t)
	}
	w.check()
}

// keep records a packet that was not passed on. It waits, unless it repeats one that does.
func (w *scheduleWorld) keep(f *scheduleFlow, s segment.Segment) {
	if len(f.held) == 0 {
		f.heldAt = w.script.now
	}
	if !slices.Contains(f.held, s) {
		f.held = append(f.held, s)
		slices.SortFunc(f.held, func(a, b segment.Segment) int { return int(int32(a.Sequence - b.Sequence)) })
	}
}

// left handles a packet that has waited: it must be the first one of its flow that does.
func (w *scheduleWorld) left(data string) {
	for _, f := range w.flows {
		if len(f.held) > 0 && data == string(packetData(f.held[0])) {
			s := f.held[0]
			f.held = f.held[1:]
			w.passedOn(f, s)
			return
		}
	}
	w.t.Fatalf("packet %s was passed on, but was not the first to wait in its flow", data)
}

// passedOn handles a packet at the backend server.
func (w *scheduleWorld) passedOn(f *scheduleFlow, s segment.Segment) {
	if s.Length == 0 {
		return
	}
	end := s.Sequence + uint32(s.Length)
	repeated := int32(end-f.passed) <= 0
	if f.runningAt.IsZero() && (!repeated || !f.answered) {
		f.runningAt = w.script.now
		f.answered = false
	}
	if !repeated {
		f.passed = end
	}
}

// lose handles a flow that ended with its backend server. The next one has another number.
func (w *scheduleWorld) lose(t flow.Tuple) {
	for _, f := range w.flows {
		if scriptFlow(f.number) == t {
			f.held = nil
			f.runningAt = time.Time{}
			f.lost = true
		}
	}
}

// check compares the waiting requests with those of the model, after those have left that have
// timed out.
func (w *scheduleWorld) check() {
	waiting, running := 0, 0
	for _, f := range w.flows {
		if w.script.now.Sub(f.heldAt) >= scheduleTimeout {
			f.held = nil
		}
		if len(f.held) > 0 {
			waiting++
		}
		if !f.runningAt.IsZero() && w.script.now.Sub(f.runningAt) <= scheduleOverdue {
			running++
		}
	}
	got := 0
	for _, q := range w.script.model.Stats().Queue {
		got += q.Waiting
	}
	require.Equal(w.t, waiting, got)
	if waiting > 0 {
		require.False(w.t, w.unlimited)
		require.GreaterOrEqual(w.t, running, int(w.script.slots))
		require.False(w.t, w.script.model.Quiet(w.script.now))
	}
}
