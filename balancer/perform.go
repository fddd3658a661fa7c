package balancer

import (
	"github.com/lentilshed/lentilshed/lease"
)

// perform executes one effect.
func (r *Runtime) perform(e Effect) {
	switch x := e.(type) {
	case SendEffect:
		if c := r.conns.conn(x.Conn); c != nil {
			c.Send(x.Envelope)
		}
	case CloseEffect:
		if c := r.conns.conn(x.Conn); c != nil {
			c.Close()
		}
	case DialNeighboursEffect:
		r.neighbourDialer.SetAddresses(x.Addresses)
	case DialRegistrarEffect:
		r.setRegistrarAddress(x.Address)
	case WatchEffect:
		r.watcher.set(x.On)
	case RoutesEffect:
		r.routes.Store(x.Routes)
	case lease.ReadEffect:
		r.lease.read()
	case lease.WriteEffect:
		r.lease.write(x)
	}
}

func (r *Runtime) setRegistrarAddress(address string) {
	if address == "" {
		r.registrarDialer.SetAddresses(nil)
		return
	}
	r.registrarDialer.SetAddresses([]string{address})
}
