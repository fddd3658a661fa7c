package service

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/target"
)

// Target is one target as a routing table sees it.
type Target struct {
	ID             target.ID
	Incarnation    target.Incarnation
	Domain         string
	PacketAddress  netip.AddrPort
	ControlAddress string
	Weight         uint32
	// HomeEligible is false for a target that gets no bucket: leaving or drained.
	HomeEligible bool
	// Suspect is true for a target that missed heartbeats. New flows do not wait
	// for what it holds.
	Suspect bool
	// OutOfService is true in a failure domain that the operators took out. No packet
	// may be sent to it.
	OutOfService bool
}
