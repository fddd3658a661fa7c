package director

import (
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

// Stats counts what a balancer did since its start; Hints, Members, ConfigVersion and
// ServersEjected are present values.
type Stats struct {
	Delivered       uint64
	Placed          uint64
	Refused         uint64
	Rejected        uint64
	Reset           uint64
	Forged          uint64
	NoConfig        uint64
	DroppedAtStart  uint64
	Lookups         uint64
	LookupsDropped  uint64
	LookupsTimedOut uint64
	LookupsFound    uint64
	LookupsUnheld   uint64
	Offers          uint64
	Verified        uint64
	Restored        uint64
	ListRequests    uint64
	Hints           int
	Members         int
	ConfigVersion   routing.Version
	ServersEjected  int
	// RefusedByLevel counts the refused new flows by the level of their priority, and
	// Deferred those that agents have deferred. They count only if load-aware.
	RefusedByLevel [placement.PriorityLevels]uint64
	Deferred       [placement.PriorityLevels]uint64
}
