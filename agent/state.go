package agent

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/target"
)

var (
	// ErrFenced is the health of an agent that a newer incarnation has replaced.
	// /healthz returns the text, so it stays as it is.
	ErrFenced = errors.New("fenced by a newer life of this target")
	// ErrNotJoined is the health of an agent whose target is not in the roster or
	// not eligible as a home.
	ErrNotJoined = errors.New("not in the roster yet")
)

// State is a snapshot of a running agent for health, metrics and reports.
type State struct {
	IntentRevision uint64
	RosterVersion  uint64
	Active         uint32
	Limit          uint32
	Capacity       uint32
	FlowsAtPeers   int
	Cold           bool
	Fenced         bool
	// Joined is true while the target is eligible as a home.
	Joined   bool
	Restarts uint32
	Stats    Stats
	// UnsyncedPeers lists the peers whose flows are not known under the table in
	// force.
	UnsyncedPeers []target.ID
}

// PacketAddress returns the address that receives packets from other instances.
func (r *Runtime) PacketAddress() netip.AddrPort {
	a, _ := netip.ParseAddrPort(r.config.PacketAddress)
	return a
}

// ControlAddress returns the address of the control listener.
func (r *Runtime) ControlAddress() string {
	return r.server.Address()
}

// State returns the latest snapshot.
func (r *Runtime) State() State {
	return *r.state.Load()
}

// ControlBytes returns the number of bytes that control connections have sent
// and received.
func (r *Runtime) ControlBytes() (sent, received uint64) {
	return r.bytes.Sent.Load(), r.bytes.Received.Load()
}

// Health returns nil while the target takes part in its service.
func (r *Runtime) Health() error {
	s := r.State()
	switch {
	case s.Fenced:
		return ErrFenced
	case !s.Joined:
		return ErrNotJoined
	}
	return nil
}

func (r *Runtime) hello(role string) *controlpb.Hello {
	c := &r.config.Config
	s := r.State()
	return &controlpb.Hello{
		Name:           string(c.Self),
		Domain:         c.Domain,
		Region:         r.config.Region,
		Role:           role,
		ControlAddress: r.config.ControlAddress,
		IntentRevision: s.IntentRevision,
		RosterVersion:  s.RosterVersion,
		Service:        c.Service,
	}
}
