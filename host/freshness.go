package host

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/store"
	"github.com/zeebo/xxh3"
)

const (
	// tellPeriod is the time between two digests without news.
	tellPeriod = 600 * time.Millisecond
	// maxTold bounds the peers that get one digest.
	maxTold = 24
	// peerLifetime forgets a balancer that was neither heard nor listed.
	peerLifetime = 20 * time.Second
	// declaredPath is where balancers fetch the declared state of each other.
	declaredPath = "/declared"
	// fetchTimeout bounds one fetch within a region.
	fetchTimeout = 600 * time.Millisecond
	// maxDeclared bounds the declared state, in bytes.
	maxDeclared = 8 << 20
)

// declared is the declared state that balancers fetch from each other.
type declared struct {
	Config          *routing.Config `json:"config"`
	Out             []string        `json:"domains_out"`
	DomainsRevision uint64          `json:"domains_revision"`
}

// serveDeclared lets other balancers fetch what is in force here.
func (b *Balancer) serveDeclared() error {
	l, err := net.Listen("tcp4", b.config.Peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+declaredPath, func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		d := declared{
			Config:          b.model.Declared(),
			Out:             b.model.Out(),
			DomainsRevision: b.model.DomainsRevision(),
		}
		b.mu.Unlock()
		if err := json.NewEncoder(w).Encode(d); err != nil {
			b.failed("declared state was not sent")(err)
		}
	})
	b.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: fetchTimeout,
	}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// fetchDeclared fetches newer state from peers that have it.
func (b *Balancer) fetchDeclared(ctx context.Context) {
	h := store.NewHTTPClient()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-b.fetches:
			if err := b.fetch(ctx, h, a); err != nil {
				b.failed("fetch declared state from " + a.String())(err)
			}
		}
	}
}

func (b *Balancer) fetch(ctx context.Context, h *http.Client, a netip.AddrPort) error {
	c, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+a.String()+declaredPath, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	p, err := h.Do(q)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer func() { _ = p.Body.Close() }()
	var d declared
	if err := json.NewDecoder(io.LimitReader(p.Body, maxDeclared)).Decode(&d); err != nil {
		return errors.Wrap(err, "decode")
	}
	if d.Config != nil {
		b.adoptConfig(d.Config)
	}
	if d.DomainsRevision > 0 {
		b.adoptDomains(d.Out, d.DomainsRevision)
	}
	return nil
}

func (b *Balancer) adoptConfig(c *routing.Config) {
	b.update(director.ConfigMsg{
		Config: c,
	})
	b.updateFreshness(b.heldConfig())
}

func (b *Balancer) adoptDomains(out []string, revision uint64) {
	b.update(director.DomainsMsg{
		Out:      out,
		Revision: revision,
	})
	b.updateFreshness(b.heldDomains())
}

func (b *Balancer) heldConfig() freshness.HeldMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := uint64(b.model.Version())
	return freshness.HeldMsg{
		Kind: freshness.KindConfig,
		State: freshness.State{
			Revision: v,
			Hash:     v,
		},
	}
}

func (b *Balancer) heldDomains() freshness.HeldMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	return freshness.HeldMsg{
		Kind: freshness.KindDomains,
		State: freshness.State{
			Revision: b.model.DomainsRevision(),
			Hash:     xxh3.HashString(strings.Join(b.model.Out(), "\n")),
		},
	}
}

// updateFreshness passes a message to the model and performs its effects.
func (b *Balancer) updateFreshness(m freshness.Msg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, e := range b.fresh.Update(now, m) {
		switch x := e.(type) {
		case freshness.LookEffect:
			select {
			case b.looks[x.Kind] <- struct{}{}:
			default:
			}
		case freshness.FetchEffect:
			select {
			case b.fetches <- b.peerNames[x.Name]:
			default:
			}
		case freshness.TellEffect:
			b.tell(now)
		}
	}
}

func (b *Balancer) tickFreshness() {
	b.updateFreshness(freshness.TickMsg{})
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.told) > tellPeriod {
		b.tell(now)
	}
}

// tell sends a digest to the other balancers. The lock is held.
func (b *Balancer) tell(now time.Time) {
	b.told = now
	d := b.fresh.Digest(now)
	out, err := relay.AppendControl(b.out[:0], digestOf(d))
	if err != nil {
		b.failed("digest was not sent")(err)
		return
	}
	b.out = out
	n := 0
	for a, seen := range b.peers {
		if now.Sub(seen) > peerLifetime {
			delete(b.peers, a)
			continue
		}
		if n < maxTold && a != b.config.Peer {
			n++
			b.send(b.peer, a)
		}
	}
}

// digest takes what another balancer has in force.
func (b *Balancer) digest(from netip.AddrPort, x *controlpb.Digest) {
	b.mu.Lock()
	b.peers[from] = time.Now()
	b.peerNames[x.GetName()] = from
	b.mu.Unlock()
	b.updateFreshness(digestMsg(x))
}

// followPeers lists the other balancers now and then.
func (b *Balancer) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		l, err := b.config.Registry.Balancers(c, true)
		cancel()
		if err != nil {
			b.failed("list balancers")(err)
			pause(ctx, callPause)
			continue
		}
		b.mu.Lock()
		for _, a := range l {
			b.peers[a] = time.Now()
		}
		b.mu.Unlock()
		pause(ctx, listPeriod)
	}
}

func (b *Balancer) waitTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fresh.Watches() {
		return watchTime
	}
	return 0
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
	f := store.Feed[*routing.Config]{
		Read:      b.config.Registry.Config,
		Wait:      b.config.Registry.WaitConfig,
		WaitTime:  b.waitTime,
		Kick:      b.looks[freshness.KindConfig],
		Changed:   func(c *routing.Config, _ store.Revision) { b.adoptConfig(c) },
		Confirmed: b.confirmed(freshness.KindConfig),
		Failed:    b.failed("follow configuration"),
	}
	f.Run(ctx)
}

func (b *Balancer) followDomains(ctx context.Context) {
	f := store.Feed[[]string]{
		Read:     b.config.Registry.Domains,
		Wait:     b.config.Registry.WaitDomains,
		WaitTime: b.waitTime,
		Kick:     b.looks[freshness.KindDomains],
		Changed: func(out []string, r store.Revision) {
			slices.Sort(out)
			b.adoptDomains(out, uint64(r))
		},
		Confirmed: b.confirmed(freshness.KindDomains),
		Failed:    b.failed("follow failure domains"),
	}
	f.Run(ctx)
}

func digestOf(d freshness.DigestMsg) *controlpb.Datagram {
	return &controlpb.Datagram{
		Body: &controlpb.Datagram_Digest{
			Digest: &controlpb.Digest{
				Name:            d.Name,
				ConfigVersion:   d.States[freshness.KindConfig].Revision,
				ConfigAgeMs:     milliseconds(d.Ages[freshness.KindConfig]),
				DomainsRevision: d.States[freshness.KindDomains].Revision,
				DomainsHash:     d.States[freshness.KindDomains].Hash,
				DomainsAgeMs:    milliseconds(d.Ages[freshness.KindDomains]),
			},
		},
	}
}

// maxAge stands for any longer age in a digest.
const maxAge = time.Hour

func milliseconds(d time.Duration) uint32 {
	return uint32(min(d, maxAge).Milliseconds())
}

func digestMsg(x *controlpb.Digest) freshness.DigestMsg {
	d := freshness.DigestMsg{
		Name: x.GetName(),
	}
	d.States[freshness.KindConfig] = freshness.State{
		Revision: x.GetConfigVersion(),
		Hash:     x.GetConfigVersion(),
	}
	d.States[freshness.KindDomains] = freshness.State{
		Revision: x.GetDomainsRevision(),
		Hash:     x.GetDomainsHash(),
	}
	d.Ages[freshness.KindConfig] = time.Duration(x.GetConfigAgeMs()) * time.Millisecond
	d.Ages[freshness.KindDomains] = time.Duration(x.GetDomainsAgeMs()) * time.Millisecond
	return d
}
