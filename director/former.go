package director

import (
	"slices"

	"github.com/lentilshed/lentilshed/routing"
)

// maxFormer bounds the earlier services that are remembered for one route.
const maxFormer = 8

// former are the services that earlier configurations of this process's life sent a
// route to: flows that opened then stay there.
type former map[routing.Address][]string

// note remembers the services that a new configuration takes from a route.
func (f former) note(before, after *routing.Config) {
	for a, r := range before.Routes {
		next, ok := after.Routes[a]
		if !ok {
			// Flows of a removed route end.
			delete(f, a)
			continue
		}
		for _, s := range r.Shares {
			if !next.Includes(s.Service) && !slices.Contains(f[a], s.Service) {
				f[a] = append(f[a], s.Service)
			}
		}
		if n := len(f[a]) - maxFormer; n > 0 {
			f[a] = f[a][n:]
		}
	}
}

// mayHold reports whether the backend servers of a service may get a packet of a
// route. Others are never offered one, though their agents are asked.
func (f former) mayHold(a routing.Address, r routing.Route, service string) bool {
	return r.Includes(service) || slices.Contains(f[a], service)
}
