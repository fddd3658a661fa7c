package cost

import (
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// Speed returns the speed of a backend server in multiples of its service's mean speed: the
// mean quotient of service-wide and own cost, over the samples of routes that both have. It is
// one without such routes.
func Speed(own, service []RouteCost) float64 {
	sum := 0.0
	n := 0.0
	for _, c := range own {
		x, ok := find(service, c.Route)
		if !ok || c.Mean <= 0 || x.Mean <= 0 {
			continue
		}
		w := float64(min(c.Samples, maxSlownessSamples))
		sum += w * float64(c.Mean) / float64(x.Mean)
		n += w
	}
	if n == 0 {
		return 1
	}
	return min(max(n/sum, 1.0/maxDrift), maxDrift)
}

// Expected returns the expected work of a request of a route at a backend server: its own cost
// if it has reported it, else the service-wide cost divided by its speed, else DefaultMean.
func Expected(route routing.Address, own, service []RouteCost) time.Duration {
	if c, ok := find(own, route); ok && c.Mean > 0 {
		return c.Mean
	}
	if c, ok := find(service, route); ok && c.Mean > 0 {
		return time.Duration(float64(c.Mean) / Speed(own, service))
	}
	return DefaultMean
}
