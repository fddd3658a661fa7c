package host

import "net/netip"

// Backend is the service and address of the backend server beside an agent.
type Backend struct {
	Service string
	Address netip.AddrPort
}
