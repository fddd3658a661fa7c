package host

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/store"
	"github.com/zeebo/xxh3"
)

// sourceStore is the source of state that this balancer has read from the store itself.
const sourceStore = "store"

func (b *Balancer) adoptConfig(c *routing.Config, source string) {
	b.update(director.ConfigMsg{
		Config: c,
		Source: source,
	})
	b.updateFreshness(b.adoptedConfig())
}

func (b *Balancer) adoptDomains(out []string, revision uint64) {
	b.update(director.DomainsMsg{
		OutOfService: out,
		Revision:     revision,
	})
	b.updateFreshness(b.adoptedDomains())
}

func (b *Balancer) adoptedConfig() freshness.AdoptedMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := uint64(b.model.Version())
	return freshness.AdoptedMsg{
		Kind: freshness.KindConfig,
		State: freshness.State{
			Revision: v,
			Hash:     v,
		},
	}
}

func (b *Balancer) adoptedDomains() freshness.AdoptedMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	return freshness.AdoptedMsg{
		Kind: freshness.KindDomains,
		State: freshness.State{
			Revision: b.model.DomainsRevision(),
			Hash:     xxh3.HashString(strings.Join(b.model.DomainsOutOfService(), "\n")),
		},
	}
}

// updateFreshness passes a message to the model and performs its effects.
func (b *Balancer) updateFreshness(m freshness.Msg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, e := range b.freshness.Update(now, m) {
		switch x := e.(type) {
		case freshness.ReadStoreEffect:
			b.requestRead(x.Kind)
		case freshness.FetchEffect:
			b.requestFetch(x)
		case freshness.SendDigestEffect:
			b.sendDigest(now, x.To)
		case freshness.UnconfirmedEffect:
			b.logAge("state in force is not confirmed as the newest; reading the store", x.Kind, x.Age)
		case freshness.ConfirmedAgainEffect:
			b.logAge("state in force is confirmed as the newest again", x.Kind, x.Age)
		}
	}
}

func (b *Balancer) requestFetch(x freshness.FetchEffect) {
	if x.Kind == freshness.KindAgents {
		b.agentFetches <- x
		return
	}
	b.fetches <- x
}

// logAge logs the age of a piece of state. The caller holds the lock.
func (b *Balancer) logAge(event string, k freshness.Kind, age time.Duration) {
	b.config.Log(LogEvent{
		Event:   event,
		Name:    k.Label(),
		Age:     age,
		Version: uint64(b.model.Version()),
	})
}

// Ages returns the times since the state in force was last confirmed as the newest.
func (b *Balancer) Ages() [freshness.Kinds]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var l [freshness.Kinds]time.Duration
	for k := range l {
		l[k] = b.freshness.Age(now, freshness.Kind(k))
	}
	return l
}

// requestRead requests a read of the store, unless one is requested already.
func (b *Balancer) requestRead(k freshness.Kind) {
	select {
	case b.readRequests[k] <- struct{}{}:
	default:
	}
}

// sendDigest sends a digest to some balancers. The caller holds the lock.
func (b *Balancer) sendDigest(now time.Time, to []netip.AddrPort) {
	out, err := relay.AppendControl(b.buffer[:0], encodeDigest(b.freshness.Digest(now)))
	if err != nil {
		b.errorLogger("digest was not sent")(err)
		return
	}
	b.buffer = out
	for _, x := range to {
		b.send(b.peer, x)
	}
}

func addresses(l []BalancerRecord) []netip.AddrPort {
	var x []netip.AddrPort
	for _, p := range l {
		x = append(x, p.Address)
	}
	return x
}

// followPeers reads the list of balancers every peersInterval.
func (b *Balancer) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := store.WithStallTimeout(ctx, callTimeout)
		l, err := b.config.Registry.Balancers(c)
		cancel()
		if err != nil {
			b.errorLogger("cannot list balancers; retrying")(err)
			sleep(ctx, callRetryDelay)
			continue
		}
		b.updateFreshness(freshness.PeersMsg{
			Addresses: addresses(l),
		})
		sleep(ctx, peersInterval)
	}
}

// waitTime returns the function that decides how long the watcher of a kind of state
// waits.
func (b *Balancer) waitTime(k freshness.Kind) func() time.Duration {
	return func() time.Duration {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.freshness.Watches(time.Now(), k) {
			return watchTimeout
		}
		return 0
	}
}

func (b *Balancer) confirmed(k freshness.Kind) func(time.Time) {
	return func(at time.Time) {
		b.updateFreshness(freshness.ConfirmedMsg{
			Kind: k,
			At:   at,
		})
	}
}

func (b *Balancer) followConfig(ctx context.Context) {
	w := store.Watcher[*routing.Config]{
		Read:      b.config.Registry.Config,
		Wait:      b.config.Registry.WaitConfig,
		WaitTime:  b.waitTime(freshness.KindConfig),
		Refresh:   b.readRequests[freshness.KindConfig],
		Changed:   func(c *routing.Config, _ store.Revision) { b.adoptConfig(c, sourceStore) },
		Confirmed: b.confirmed(freshness.KindConfig),
		Failed:    b.errorLogger("cannot follow the configuration; retrying"),
	}
	w.Run(ctx)
}

func (b *Balancer) followDomains(ctx context.Context) {
	w := store.Watcher[[]string]{
		Read:     b.config.Registry.DomainsOutOfService,
		Wait:     b.config.Registry.WaitDomainsOutOfService,
		WaitTime: b.waitTime(freshness.KindDomains),
		Refresh:  b.readRequests[freshness.KindDomains],
		Changed: func(out []string, r store.Revision) {
			slices.Sort(out)
			b.adoptDomains(out, uint64(r))
		},
		Confirmed: b.confirmed(freshness.KindDomains),
		Failed:    b.errorLogger("cannot follow the failure domains out of service; retrying"),
	}
	w.Run(ctx)
}

func encodeDigest(d freshness.DigestMsg) *controlpb.Datagram {
	x := &controlpb.Digest{
		ConfigVersion:   d.States[freshness.KindConfig].Revision,
		ConfigAgeMs:     milliseconds(d.Ages[freshness.KindConfig]),
		DomainsRevision: d.States[freshness.KindDomains].Revision,
		DomainsHash:     d.States[freshness.KindDomains].Hash,
		DomainsAgeMs:    milliseconds(d.Ages[freshness.KindDomains]),
		AgentsRevision:  d.States[freshness.KindAgents].Revision,
		AgentsHash:      d.States[freshness.KindAgents].Hash,
		AgentsAgeMs:     milliseconds(d.Ages[freshness.KindAgents]),
	}
	for _, w := range d.Watchers {
		x.Watchers = append(x.Watchers, &controlpb.Watcher{
			Hash:  w.Hash,
			AgeMs: milliseconds(w.Age),
		})
	}
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Digest{
			Digest: x,
		},
	}
}

// milliseconds returns a duration in milliseconds for a message; it is capped at 49
// days, the largest value of the type.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func decodeDigest(from netip.AddrPort, x *controlpb.Digest) freshness.DigestMsg {
	d := freshness.DigestMsg{
		From: from,
	}
	d.States[freshness.KindConfig] = freshness.State{
		Revision: x.GetConfigVersion(),
		Hash:     x.GetConfigVersion(),
	}
	d.States[freshness.KindDomains] = freshness.State{
		Revision: x.GetDomainsRevision(),
		Hash:     x.GetDomainsHash(),
	}
	d.States[freshness.KindAgents] = freshness.State{
		Revision: x.GetAgentsRevision(),
		Hash:     x.GetAgentsHash(),
	}
	d.Ages[freshness.KindConfig] = fromMilliseconds(x.GetConfigAgeMs())
	d.Ages[freshness.KindDomains] = fromMilliseconds(x.GetDomainsAgeMs())
	d.Ages[freshness.KindAgents] = fromMilliseconds(x.GetAgentsAgeMs())
	for _, w := range x.GetWatchers() {
		d.Watchers = append(d.Watchers, freshness.Watcher{
			Hash: w.GetHash(),
			Age:  fromMilliseconds(w.GetAgeMs()),
		})
	}
	return d
}

func fromMilliseconds(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
