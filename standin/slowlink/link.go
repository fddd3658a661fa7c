// Package slowlink is a stand-in for the network link of an instance: a TCP proxy with a
// limited rate, which all of its connections share.
package slowlink

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Config has the settings of a Link.
type Config struct {
	// Listen is the address at which the link accepts connections.
	Listen string
	// Target is the address to which it connects them.
	Target string
	// BytesPerSecond is the rate in each direction.
	BytesPerSecond int
}

// Link is a running proxy. It is safe for concurrent use.
type Link struct {
	config   Config
	listener net.Listener
	toTarget pacer
	toCaller pacer
	mu       sync.Mutex
	conns    []net.Conn
	// epoch counts the calls of Silence.
	epoch int
}

// New returns a running link.
func New(c Config) (*Link, error) {
	l, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections")
	}
	x := &Link{
		config:   c,
		listener: l,
		toTarget: pacer{
			bytesPerSecond: c.BytesPerSecond,
		},
		toCaller: pacer{
			bytesPerSecond: c.BytesPerSecond,
		},
	}
	go x.accept()
	return x, nil
}

// Address returns the address at which the link accepts connections.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Silence drops all further data on the connections that are open now, without closing them.
// New connections work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
}

func (l *Link) present() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Close stops the link and closes its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp4", l.config.Target)
		if err != nil {
			_ = c.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, c, t)
		l.mu.Unlock()
		go l.copyTo(t, c, &l.toTarget)
		go l.copyTo(c, t, &l.toCaller)
	}
}

// copyTo copies from one connection to another at the rate of a pacer, and closes both once
// either is closed.
func (l *Link) copyTo(to, from net.Conn, p *pacer) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	epoch := l.present()
	b := make([]byte, 4<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if l.present() != epoch {
			continue
		}
		p.wait(n)
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// pacer spaces the packets of one direction.
type pacer struct {
	mu             sync.Mutex
	bytesPerSecond int
	free           time.Time
}

// wait returns once n more bytes have passed the link.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
	d := p.free.Sub(now)
	p.mu.Unlock()
	time.Sleep(d)
}
