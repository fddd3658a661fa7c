package outlier

import "github.com/lentilshed/lentilshed/routing"

// Baselines has the baselines of the routes at one backend server, and the service-wide values
// that they start from. The zero value knows nothing.
type Baselines struct {
	routes  map[routing.Address]*Baseline
	service map[routing.Address]Usual
}

// maxBaselines bounds the routes that are kept. The users' services have up to three.
const maxBaselines = 64

// Of returns the baseline of a route, or nil, which learns nothing, if there are too many.
func (b *Baselines) Of(route routing.Address) *Baseline {
	x := b.routes[route]
	if x == nil && len(b.routes) < maxBaselines {
		if b.routes == nil {
			b.routes = map[routing.Address]*Baseline{}
		}
		x = &Baseline{}
		x.seed(b.service[route])
		b.routes[route] = x
	}
	return x
}

// SetService sets the service-wide values of a route. Unknown ones leave those before in force.
func (b *Baselines) SetService(route routing.Address, u Usual) {
	if _, ok := b.service[route]; u.Bytes == 0 || u.Wait <= 0 || !ok && len(b.service) >= maxBaselines {
		return
	}
	if b.service == nil {
		b.service = map[routing.Address]Usual{}
	}
	b.service[route] = u
	if x := b.routes[route]; x != nil {
		x.seed(u)
	}
}

// Bytes returns the mean length of the good responses of a route, zero while it is not known.
func (b *Baselines) Bytes(route routing.Address) uint32 {
	return b.routes[route].Bytes()
}

// Forget forgets what was learned at this backend server, and keeps the service-wide values.
func (b *Baselines) Forget() {
	b.routes = nil
}
