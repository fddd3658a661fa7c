package service

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/target"
)

// Target is one target in a routing table.
type Target struct {
	ID             target.ID
	Incarnation    target.Incarnation
	Domain         string
	PacketAddress  netip.AddrPort
	ControlAddress string
	Weight         uint32
	// HomeEligible is false for a target that gets no bucket while others are
	// eligible, because it has not joined or is leaving, suspect or drained, or
	// because the service may not use its failure domain.
	HomeEligible bool
	// Suspect is true for a target that missed heartbeats. New flows do not wait
	// for the list of the flows it holds.
	Suspect bool
	// OutOfService is true for a target in a failure domain that operators took
	// out of service. No packet may be sent to it.
	OutOfService bool
}
