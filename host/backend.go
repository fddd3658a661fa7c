package host

import "net/netip"

// Backend names the backend server beside an agent.
type Backend struct {
	Service string
	Address netip.AddrPort
}
