package host

import (
	"context"
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/store"
)

// Registry is what lasts of the system, outside its processes. Cached lists are
// cheap and may be seconds old.
type Registry struct {
	Config       func(context.Context) (*routing.Config, store.Revision, error)
	CachedConfig func(context.Context) (*routing.Config, error)
	WaitConfig   func(ctx context.Context, after store.Revision, wait time.Duration) (*routing.Config, store.Revision, bool, error)
	Domains      func(context.Context) ([]string, store.Revision, error)
	WaitDomains  func(ctx context.Context, after store.Revision, wait time.Duration) ([]string, store.Revision, bool, error)
	Agents       func(ctx context.Context, cached bool) ([]director.Member, error)
	Balancers    func(ctx context.Context, cached bool) ([]netip.AddrPort, error)
	// RegisterAgent records an agent and the life of its backend server;
	// RecordedLife reads that life, zero if there is no record.
	RegisterAgent    func(ctx context.Context, m director.Member, born uint64) error
	RecordedLife     func(ctx context.Context, name string) (uint64, error)
	RegisterBalancer func(ctx context.Context, name, domain string, a netip.AddrPort) error
	// SaveFlows keeps a snapshot of the flows that pass a balancer, LoadFlows
	// returns those of all balancers by name, and DropFlows removes one.
	SaveFlows          func(ctx context.Context, name string, snapshot []byte) error
	LoadFlows          func(ctx context.Context) (map[string][]byte, error)
	DropFlows          func(ctx context.Context, name string) error
	UnregisterAgent    func(ctx context.Context, name string) error
	UnregisterBalancer func(ctx context.Context, name string) error
}

// PacketForm reads and writes packets of flows.
type PacketForm struct {
	FromCaller  func([]byte) (segment.Segment, error)
	FromTarget  func([]byte) (segment.Segment, error)
	Restore     func([]byte)
	AppendReset ResetWriter
}
