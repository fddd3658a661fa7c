package cost

import (
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// DefaultMean is the cost of a request of which nothing is known.
const DefaultMean = 50 * time.Millisecond

// Table has the learned distribution of the work of each route's requests at one backend
// server. It is not safe for concurrent use.
type Table struct{}

// NewTable returns a table without observations.
func NewTable() *Table {
	return &Table{}
}

// Observe records how long one request of a route took to be processed, without waiting.
func (t *Table) Observe(_ time.Time, _ routing.Address, _ time.Duration) {}

// SetPrior sets the costs that hold for routes with few observations.
func (t *Table) SetPrior(_ []RouteCost) {}

// Mean returns the expected work of a request of a route.
func (t *Table) Mean(_ routing.Address) time.Duration {
	return DefaultMean
}

// P99 returns the work that 99 of 100 requests of a route do not exceed.
func (t *Table) P99(_ routing.Address) time.Duration {
	return 4 * DefaultMean
}

// Rest returns the expected remaining work of a request that has run for some time.
func (t *Table) Rest(_ routing.Address, _ time.Duration) time.Duration {
	return DefaultMean
}

// Costs returns the costs of the routes with the most work, at most n.
func (t *Table) Costs(_ int) []RouteCost {
	return nil
}
