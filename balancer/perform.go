package balancer

import (
	"github.com/lentilshed/lentilshed/lease"
)

// perform carries one effect out.
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
		r.dialer.SetAddresses(x.Addresses)
	case DialRegistrarEffect:
		r.setUplink(x.Address)
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

func (r *Runtime) setUplink(address string) {
	if address == "" {
		r.uplink.SetAddresses(nil)
		return
	}
	r.uplink.SetAddresses([]string{address})
}
