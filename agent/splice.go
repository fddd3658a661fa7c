package agent

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/tcpstack"
)

const (
	dialTimeout  = 2 * time.Second
	spliceBuffer = 8 << 10
	// backendIdle and its companions find a backend server that has lost a flow.
	backendIdle     = 10 * time.Second
	backendInterval = 2 * time.Second
	backendProbes   = 3
)

// splice joins one caller's flow to the backend server's TCP port.
type splice struct {
	caller  *tcpstack.Conn
	backend *net.TCPConn
	// asked is when the caller's latest unanswered bytes went out, in Unix
	// nanoseconds; zero while nothing is unanswered.
	asked  atomic.Int64
	answer func(time.Duration)
	// broken is set when the caller's side failed first, lost when the backend
	// server's side did.
	broken atomic.Bool
	lost   atomic.Bool
}

var spliceBuffers = sync.Pool{
	New: func() any {
		b := make([]byte, spliceBuffer)
		return &b
	},
}

// accept serves one new flow from its handshake to its end.
func (r *Runtime) accept(q *tcpstack.Request) {
	k := flow.NewKey(q.From)
	e := r.flows.open(k)
	lost := r.serve(k, e, q)
	if !r.flows.remove(k, e) {
		return
	}
	r.post(FlowEndedMsg{
		Key:           k,
		LostByBackend: lost,
	})
}

// serve opens the backend server's side first, so that a caller is answered
// only when there is somebody to serve it. It reports whether the backend
// server dropped the flow.
func (r *Runtime) serve(k flow.Key, e *flowEnd, q *tcpstack.Request) bool {
	b, err := net.DialTimeout("tcp", r.config.BackendAddress, dialTimeout)
	if err != nil {
		q.Refuse()
		r.post(BackendRestartMsg{})
		return false
	}
	c, err := q.Accept()
	if err != nil {
		_ = b.Close()
		return false
	}
	if !r.flows.attach(e, c) {
		c.Abort()
		_ = b.Close()
		return false
	}
	r.post(FlowEstablishedMsg{
		Key: k,
	})
	t, _ := b.(*net.TCPConn)
	keepBackendAlive(t)
	s := &splice{
		caller:  c,
		backend: t,
		answer:  r.answered,
	}
	s.run()
	return s.lost.Load()
}

// run copies both ways until both sides have closed.
func (s *splice) run() {
	var w sync.WaitGroup
	w.Add(1)
	go func() {
		defer w.Done()
		s.copyIn()
	}()
	s.copyOut()
	w.Wait()
	_ = s.caller.Close()
	_ = s.backend.Close()
}

// copyIn copies from the caller to the backend server.
func (s *splice) copyIn() {
	c := transfer{
		to:   s.backend,
		from: s.caller,
		seen: func() { s.asked.CompareAndSwap(0, time.Now().UnixNano()) },
	}
	if c.run() == nil {
		_ = s.backend.CloseWrite()
		return
	}
	s.broken.Store(true)
	_ = s.backend.SetLinger(0)
	_ = s.backend.Close()
}

// copyOut copies from the backend server to the caller. A backend server that
// breaks off makes the caller's side break off too, so that part of an answer
// never looks whole.
func (s *splice) copyOut() {
	c := transfer{
		to:   s.caller,
		from: s.backend,
		seen: s.answered,
	}
	if c.run() == nil {
		_ = s.caller.CloseWrite()
		return
	}
	s.lost.Store(c.readFailed && !s.broken.Load())
	s.caller.Abort()
}

// answered notes the first bytes of an answer.
func (s *splice) answered() {
	if t := s.asked.Swap(0); t != 0 {
		s.answer(time.Duration(time.Now().UnixNano() - t))
	}
}

func keepBackendAlive(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     backendIdle,
		Interval: backendInterval,
		Count:    backendProbes,
	})
}
