package balancer

import "github.com/lentilshed/lentilshed/controlpb"

// Effect is an action that Model.Update asks the runtime for: one of the types
// below or an effect of package lease.
type Effect any

// SendEffect sends a message on a control connection.
type SendEffect struct {
	Conn     ConnID
	Envelope *controlpb.Envelope
}

// CloseEffect closes a control connection.
type CloseEffect struct {
	Conn ConnID
}

// DialRegistrarEffect replaces the address of the registrar that a connection is
// kept to; empty means none.
type DialRegistrarEffect struct {
	Address string
}

// DialNeighboursEffect replaces the addresses of the neighbours that connections
// are kept to.
type DialNeighboursEffect struct {
	Addresses []string
}

// WatchEffect starts or stops watching the platform for the accepted document.
type WatchEffect struct {
	On bool
}

// RoutesEffect replaces the routes that packets are forwarded by.
type RoutesEffect struct {
	Routes *Routes
}
