package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/store"
)

const (
	// declaredPath is the HTTP path at which balancers fetch the declared state from
	// each other, and agentsPath that of the list of agents. The latter returns the
	// changes after the revision in paramAfter.
	declaredPath = "/declared"
	agentsPath   = "/agents"
	paramAfter   = "after"
	// fetchTimeout is the time for the first part of the response to a fetch within a region.
	fetchTimeout = 600 * time.Millisecond
	// maxDeclared bounds the size of a response once it is decompressed, in bytes.
	maxDeclared = 8 << 20
)

// declaredState is the configuration and the failure domains out of service, as
// balancers fetch them from each other.
type declaredState struct {
	Config          *routing.Config `json:"config"`
	Out             []string        `json:"domains_out"`
	DomainsRevision uint64          `json:"domains_revision"`
}

// agentList is the list of agents, or changes of it, as balancers fetch them from each
// other.
type agentList struct {
	Changes  director.MemberChanges `json:"changes"`
	Revision store.Revision         `json:"revision"`
}

// serveDeclared serves the state that is in force here to other balancers.
func (b *Balancer) serveDeclared() error {
	l, err := net.Listen("tcp4", b.config.PeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for HTTP requests of peers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+declaredPath, func(w http.ResponseWriter, q *http.Request) {
		if err := b.writeDeclared(w, q); err != nil {
			b.errorLogger("declared state was not sent to a peer")(err)
		}
	})
	mux.HandleFunc("GET "+agentsPath, func(w http.ResponseWriter, q *http.Request) {
		after, err := strconv.ParseUint(q.URL.Query().Get(paramAfter), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		b.mu.Lock()
		var l agentList
		l.Changes, l.Revision = b.agents.Since(store.Revision(after))
		b.mu.Unlock()
		if err := writeJSON(w, q, func() ([]byte, error) { return compressJSON(l) }, l); err != nil {
			b.errorLogger("list of agents was not sent to a peer")(err)
		}
	})
	b.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: fetchTimeout,
	}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// writeDeclared writes the state in force.
func (b *Balancer) writeDeclared(w http.ResponseWriter, q *http.Request) error {
	b.mu.Lock()
	d := declaredState{
		Config:          b.model.Declared(),
		Out:             b.model.DomainsOutOfService(),
		DomainsRevision: b.model.DomainsRevision(),
	}
	b.mu.Unlock()
	return writeJSON(w, q, func() ([]byte, error) { return b.declared.get(d) }, d)
}

// writeJSON writes a response, compressed unless the peer is of a version that does not accept
// that.
func writeJSON(w http.ResponseWriter, q *http.Request, compressed func() ([]byte, error), x any) error {
	if !strings.Contains(q.Header.Get("Accept-Encoding"), encodingGzip) {
		return errors.Wrap(json.NewEncoder(w).Encode(x), "write response")
	}
	body, err := compressed()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Encoding", encodingGzip)
	_, err = w.Write(body)
	return errors.Wrap(err, "write response")
}

// runFetches performs the fetches in a queue until the context ends. The list of agents has a queue of its own: it may
// take long, and a configuration must not wait for it.
func (b *Balancer) runFetches(ctx context.Context, queue <-chan freshness.FetchEffect) {
	t := &store.Transport{
		HTTP: store.NewHTTPClient(),
	}
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-queue:
			err := b.fetch(ctx, t, x)
			if err != nil {
				b.errorLogger("cannot fetch newer state from peer " + x.From.String())(err)
			}
			b.updateFreshness(freshness.FetchedMsg{
				Kind:     x.Kind,
				From:     x.From,
				Revision: x.Revision,
				Failed:   err != nil,
			})
		}
	}
}

// fetch fetches newer state from a peer, unless it has come from elsewhere meanwhile.
func (b *Balancer) fetch(ctx context.Context, t *store.Transport, x freshness.FetchEffect) error {
	b.mu.Lock()
	lacks := b.freshness.Lacks(x.Kind, x.Revision)
	b.mu.Unlock()
	if !lacks {
		return nil
	}
	c, cancel := store.WithStallTimeout(ctx, fetchTimeout)
	defer cancel()
	if x.Kind == freshness.KindAgents {
		return b.fetchAgents(c, t, x.From)
	}
	return b.fetchConfig(c, t, x.From)
}

// fetchConfig fetches the configuration and the failure domains out of service.
func (b *Balancer) fetchConfig(ctx context.Context, t *store.Transport, from netip.AddrPort) error {
	var d declaredState
	if err := fetchJSON(ctx, t, "http://"+from.String()+declaredPath, &d); err != nil {
		return err
	}
	if d.Config != nil {
		b.adoptConfig(d.Config, from.String())
	}
	if d.DomainsRevision > 0 {
		b.adoptDomains(d.Out, d.DomainsRevision)
	}
	return nil
}

// fetchAgents fetches the changes of the list of agents.
func (b *Balancer) fetchAgents(ctx context.Context, t *store.Transport, from netip.AddrPort) error {
	b.mu.Lock()
	after := b.agents.State().Revision
	b.mu.Unlock()
	var l agentList
	if err := fetchJSON(ctx, t, fmt.Sprintf("http://%s%s?%s=%d", from, agentsPath, paramAfter, after), &l); err != nil {
		return err
	}
	b.adoptAgents(l.Changes, l.Revision)
	return nil
}

func fetchJSON(ctx context.Context, t *store.Transport, url string, into any) error {
	r, err := t.Call(ctx, http.MethodGet, url, nil, http.Header{
		"Accept-Encoding": {encodingGzip},
	})
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK {
		return errors.Newf("unexpected status %d", r.Status)
	}
	if r.Header.Get("Content-Encoding") == encodingGzip {
		if r.Body, err = decompress(r.Body, maxDeclared); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(r.Body, into), "decode response")
}
