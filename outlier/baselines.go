package outlier

import "github.com/lentilshed/lentilshed/routing"

// Baselines has the baselines of the routes at one backend server.
type Baselines map[routing.Address]*Baseline

// maxBaselines bounds the routes that are told apart. The users' services have up to three.
const maxBaselines = 64

// Of returns the baseline of a route, or nil, which learns nothing, if there are too many.
func (b Baselines) Of(route routing.Address) *Baseline {
	x := b[route]
	if x == nil && len(b) < maxBaselines {
		x = &Baseline{}
		b[route] = x
	}
	return x
}
