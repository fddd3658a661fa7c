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
	dialTimeout      = 2 * time.Second
	spliceBufferSize = 8 << 10
	// backendKeepAliveIdle, backendKeepAliveInterval and backendKeepAliveCount
	// detect a backend server that has lost a flow.
	backendKeepAliveIdle     = 10 * time.Second
	backendKeepAliveInterval = 2 * time.Second
	backendKeepAliveCount    = 3
)

// splice connects one caller's flow to the backend server's TCP port.
type splice struct {
	caller  *tcpstack.Conn
	backend *net.TCPConn
	// unansweredSince is when the first of the caller's unanswered bytes arrived,
	// in Unix nanoseconds; zero while nothing is unanswered.
	unansweredSince atomic.Int64
	reportLatency   func(time.Duration)
	// callerFailed is set when the caller's side failed first, backendFailed when
	// the backend server's side did.
	callerFailed  atomic.Bool
	backendFailed atomic.Bool
}

var spliceBuffers = sync.Pool{
	New: func() any {
		b := make([]byte, spliceBufferSize)
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

// serve connects to the backend server first, so that a caller's handshake
// completes only when the backend server is reachable. It reports whether the
// connection to the backend server failed after that.
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

// run copies in both directions until both sides have closed.
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
		onRead: func() { s.unansweredSince.CompareAndSwap(0, time.Now().UnixNano()) },
	}
	if c.run() == nil {
		_ = s.backend.CloseWrite()
		return
	}
	s.callerFailed.Store(true)
	_ = s.backend.SetLinger(0)
	_ = s.backend.Close()
}

// copyToCaller copies from the backend server to the caller. When the backend
// server's connection breaks, the caller's is reset too, so that a truncated
// answer never looks complete.
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

// recordLatency reports the time until the first bytes of an answer.
func (s *splice) recordLatency() {
	if t := s.unansweredSince.Swap(0); t != 0 {
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
