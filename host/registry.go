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
	Config                  func(context.Context) (*routing.Config, store.Revision, error)
	CachedConfig            func(context.Context) (*routing.Config, error)
	WaitConfig              func(ctx context.Context, after store.Revision, wait time.Duration) (*routing.Config, store.Revision, bool, error)
	DomainsOutOfService     func(context.Context) ([]string, store.Revision, error)
	WaitDomainsOutOfService func(ctx context.Context, after store.Revision, wait time.Duration) ([]string, store.Revision, bool, error)
	Agents                  func(context.Context) (director.MemberChanges, store.Revision, error)
	WaitAgents              func(ctx context.Context, after store.Revision, wait time.Duration) (director.MemberChanges, store.Revision, bool, error)
	// Balancers lists the balancers from a cache.
	Balancers func(context.Context) ([]BalancerRecord, error)
	// RegisterAgent records an agent and the life of its backend server;
	// RecordedLife reads that life, zero if there is no record.
	RegisterAgent       func(ctx context.Context, m director.Member, born uint64) error
	RecordedIncarnation func(ctx context.Context, name string) (uint64, error)
	RegisterBalancer    func(context.Context, BalancerRecord) error
	// SaveFlows keeps a snapshot of the flows that pass a balancer, LoadFlows
	// returns that of one, nil if there is none, and DropFlows removes it.
	SaveFlows          func(ctx context.Context, name string, snapshot []byte) error
	LoadFlows          func(ctx context.Context, name string) ([]byte, error)
	DeleteFlows        func(ctx context.Context, name string) error
	UnregisterAgent    func(ctx context.Context, name string) error
	UnregisterBalancer func(ctx context.Context, name string) error
}

// BalancerRecord is the record of a balancer.
type BalancerRecord struct {
	Name    string
	Domain  string
	Address netip.AddrPort
}

// PacketCodec reads and writes packets of flows.
type PacketCodec struct {
	DecodeFromCaller  func([]byte) (segment.Segment, error)
	DecodeFromBackend func([]byte) (segment.Segment, error)
	Restore           func([]byte)
	AppendReset       ResetWriter
}
