package director

import (
	"slices"

	"github.com/lentilshed/lentilshed/routing"
)

// maxEarlierServices is the maximum number of earlier services kept for one route.
const maxEarlierServices = 8

// earlierServices has, by the address of a route, the services that the route named in
// earlier configurations since the start of this process. Flows that opened then stay
// at those services.
type earlierServices map[routing.Address][]string

// record adds the services that a new configuration removes from a route.
func (e earlierServices) record(before, after *routing.Config) {
	for a, r := range before.Routes {
		next, ok := after.Routes[a]
		if !ok {
			// Flows of a removed route end.
			delete(e, a)
			continue
		}
		for _, s := range r.Shares {
			if !next.Includes(s.Service) && !slices.Contains(e[a], s.Service) {
				e[a] = append(e[a], s.Service)
			}
		}
		if n := len(e[a]) - maxEarlierServices; n > 0 {
			e[a] = e[a][n:]
		}
	}
}

// mayHold reports whether the backend servers of a service may hold flows of a route.
// The agents of other services are queried, but never offered a packet.
func (e earlierServices) mayHold(a routing.Address, r routing.Route, service string) bool {
	return r.Includes(service) || slices.Contains(e[a], service)
}
