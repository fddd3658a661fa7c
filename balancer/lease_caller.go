package balancer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/store"
)

// LeaseKind is the platform's kind for leases; the registrar's is named after
// the region.
const LeaseKind = "lease"

// leaseCaller performs the calls of the lease, one at a time.
type leaseCaller struct {
	client *store.Client
	key    store.Key
	post   func(Msg)
	ctx    context.Context //nolint:containedctx // It ends with the caller.
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newLeaseCaller(c *store.Client, region string, post func(Msg)) *leaseCaller {
	ctx, cancel := context.WithCancel(context.Background())
	return &leaseCaller{
		client: c,
		key: store.Key{
			Kind: LeaseKind,
			Name: region,
		},
		post:   post,
		ctx:    ctx,
		cancel: cancel,
	}
}

func (l *leaseCaller) close() {
	l.cancel()
	l.wait.Wait()
}

func (l *leaseCaller) read() {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		o, err := l.client.Get(l.ctx, l.key)
		m := lease.ReadMsg{
			Version: uint64(o.Version),
			Found:   err == nil,
			Failed:  err != nil && !errors.Is(err, store.ErrNotFound),
		}
		if err == nil && json.Unmarshal(o.Value, &m.Record) != nil {
			m.Failed = true
		}
		l.post(m)
	}()
}

func (l *leaseCaller) write(e lease.WriteEffect) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		l.post(l.put(e))
	}()
}

func (l *leaseCaller) put(e lease.WriteEffect) lease.WriteMsg {
	b, err := json.Marshal(e.Record)
	if err != nil {
		return lease.WriteMsg{
			Outcome: lease.OutcomeConflict,
		}
	}
	v, err := l.client.Put(l.ctx, l.key, b, store.Version(e.ExpectedVersion))
	o := lease.OutcomeWritten
	switch {
	case errors.Is(err, store.ErrConflict):
		o = lease.OutcomeConflict
	case err != nil:
		o = lease.OutcomeUnknown
	}
	return lease.WriteMsg{
		Outcome: o,
		Version: uint64(v),
	}
}
