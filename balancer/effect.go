package balancer

import "github.com/lentilshed/lentilshed/controlpb"

// Effect is anything that the runtime does on behalf of Model.Update; the
// effects of package lease too.
type Effect any

// SendEffect sends a message on a control connection.
type SendEffect struct {
	Conn     ConnID
	Envelope *controlpb.Envelope
}

// CloseEffect cuts a control connection.
type CloseEffect struct {
	Conn ConnID
}

// DialRegistrarEffect replaces the address of the registrar; empty is none.
type DialRegistrarEffect struct {
	Address string
}

// DialNeighboursEffect replaces the neighbours that connections are kept to.
type DialNeighboursEffect struct {
	Addresses []string
}

// WatchEffect starts or stops the watch of the accepted document.
type WatchEffect struct {
	On bool
}

// RoutesEffect puts routes in force for packets.
type RoutesEffect struct {
	Routes *Routes
}
