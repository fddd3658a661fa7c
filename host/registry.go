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

// Registry gives access to the state that is stored outside the processes. Cached
// reads are cheap and may be seconds old.
type Registry struct {
	Config       func(context.Context) (*routing.Config, store.Revision, error)
	CachedConfig func(context.Context) (*routing.Config, error)
	WaitConfig   func(ctx context.Context, after store.Revision, wait time.Duration) (*routing.Config, store.Revision, bool, error)
	// DomainsOutOfService returns the names of the failure domains out of service.
	DomainsOutOfService     func(context.Context) ([]string, store.Revision, error)
	WaitDomainsOutOfService func(ctx context.Context, after store.Revision, wait time.Duration) ([]string, store.Revision, bool, error)
	Agents                  func(context.Context) (director.MemberChanges, store.Revision, error)
	WaitAgents              func(ctx context.Context, after store.Revision, wait time.Duration) (director.MemberChanges, store.Revision, bool, error)
	// Balancers lists the balancers from a cache.
	Balancers func(context.Context) ([]BalancerRecord, error)
	// RegisterAgent records an agent and the incarnation of its backend server;
	// RecordedIncarnation and CachedIncarnation read that incarnation, zero if there is no
	// record.
	RegisterAgent       func(ctx context.Context, m director.Member, incarnation uint64) error
	RecordedIncarnation func(ctx context.Context, name string) (uint64, error)
	CachedIncarnation   func(ctx context.Context, name string) (uint64, error)
	RegisterBalancer    func(context.Context, BalancerRecord) error
	// SaveFlows stores a balancer's snapshot of flow hints, LoadFlows returns it, nil if
	// there is none, and DeleteFlows deletes it. Snapshots are kept by failure domain;
	// DomainFlows returns all of one, or the first of them if they are too large for one
	// call.
	SaveFlows          func(ctx context.Context, domain, name string, snapshot []byte) error
	LoadFlows          func(ctx context.Context, domain, name string) ([]byte, error)
	DomainFlows        func(ctx context.Context, domain string) ([]FlowSnapshot, error)
	DeleteFlows        func(ctx context.Context, domain, name string) error
	UnregisterAgent    func(ctx context.Context, name string) error
	UnregisterBalancer func(ctx context.Context, name string) error
}

// FlowSnapshot is the snapshot of flow hints that one balancer saved.
type FlowSnapshot struct {
	Balancer string
	Content  []byte
}

// BalancerRecord is the record of a balancer.
type BalancerRecord struct {
	Name    string
	Domain  string
	Address netip.AddrPort
}

// PacketCodec decodes and encodes packets of flows.
type PacketCodec struct {
	// DecodeFromCaller decodes a packet that a caller sent, and DecodeFromBackend one
	// that the backend server sent or returned.
	DecodeFromCaller  func([]byte) (segment.Segment, error)
	DecodeFromBackend func([]byte) (segment.Segment, error)
	// Restore turns a packet that the backend server returned back into the packet
	// that the caller sent.
	Restore     func([]byte)
	AppendReset ResetWriter
}
