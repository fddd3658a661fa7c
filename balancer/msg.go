package balancer

import (
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
)

// ConnID identifies one open control connection; zero is none.
type ConnID uint64

// Msg is an input of Model.Update: one of the types below, a lease.ReadMsg or a
// lease.WriteMsg.
type Msg any

// OpenMsg is a new control connection.
type OpenMsg struct {
	Conn  ConnID
	Hello *controlpb.Hello
	// ToRegistrar is set for the connection that this balancer opened to the
	// registrar.
	ToRegistrar bool
}

// CloseMsg is the end of a control connection.
type CloseMsg struct {
	Conn ConnID
}

// EnvelopeMsg is a message on a control connection.
type EnvelopeMsg struct {
	Conn     ConnID
	Envelope *controlpb.Envelope
}

// DocumentMsg is the document that the platform holds, or nil if there is none.
// It is also sent when the document has not changed, to show that the platform
// responds.
type DocumentMsg struct {
	Document *intent.Document
}

// TickMsg drives timeouts and periodic sends. Send it several times a second.
type TickMsg struct{}
