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
	// backendKeepAliveIdle and its companions find a backend server that has lost a flow.
	backendKeepAliveIdle     = 10 * time.Second
	backendKeepAliveInterval = 2 * time.Second
	backendKeepAliveCount    = 3
)

// splice joins one caller's flow to the backend server's TCP port.
type splice struct {
	caller  *tcpstack.Conn
	backend *net.TCPConn
	// requestSentAt is when the caller's latest unanswered bytes went out, in Unix
	// nanoseconds; zero while nothing is unanswered.
	requestSentAt atomic.Int64
	reportLatency func(time.Duration)
	// callerFailed is set when the caller's side failed first, lost when the backend
	// server's side did.
	callerFailed  atomic.Bool
	backendFailed atomic.Bool
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
	e := r.flows.add(k)
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
func (r *Runtime) serve(k flow.Key, e *flowEntry, q *tcpstack.Request) bool {
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
		caller:        c,
		backend:       t,
		reportLatency: r.postLatency,
	}
	s.run()
	return s.backendFailed.Load()
}

// run copies both ways until both sides have closed.
func (s *splice) run() {
	var w sync.WaitGroup
	w.Add(1)
	go func() {
		defer w.Done()
		s.copyToBackend()
	}()
	s.copyToCaller()
	w.Wait()
	_ = s.caller.Close()
	_ = s.backend.Close()
}

// copyToBackend copies from the caller to the backend server.
func (s *splice) copyToBackend() {
	c := transfer{
		to:     s.backend,
		from:   s.caller,
		onRead: func() { s.requestSentAt.CompareAndSwap(0, time.Now().UnixNano()) },
	}
	if c.run() == nil {
		_ = s.backend.CloseWrite()
		return
	}
	s.callerFailed.Store(true)
	_ = s.backend.SetLinger(0)
	_ = s.backend.Close()
}

// copyToCaller copies from the backend server to the caller. A backend server that
// breaks off makes the caller's side break off too, so that part of an answer
// never looks whole.
func (s *splice) copyToCaller() {
	c := transfer{
		to:     s.caller,
		from:   s.backend,
		onRead: s.recordLatency,
	}
	if c.run() == nil {
		_ = s.caller.CloseWrite()
		return
	}
	s.backendFailed.Store(c.readFailed && !s.callerFailed.Load())
	s.caller.Abort()
}

// recordLatency notes the first bytes of an answer.
func (s *splice) recordLatency() {
	if t := s.requestSentAt.Swap(0); t != 0 {
		s.reportLatency(time.Duration(time.Now().UnixNano() - t))
	}
}

func keepBackendAlive(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     backendKeepAliveIdle,
		Interval: backendKeepAliveInterval,
		Count:    backendKeepAliveCount,
	})
}
