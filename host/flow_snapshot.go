package host

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/store"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"
)

const (
	// snapshotInterval is the least time between two snapshots of flow hints. Flows last
	// for minutes to hours.
	snapshotInterval = 5 * time.Second
	// snapshotRate bounds the mean rate of snapshots, in bytes a second: large ones are
	// written less often.
	snapshotRate = 450
	// maxSnapshotFlows bounds one snapshot to some 15 KB.
	maxSnapshotFlows = 600
	// minDomainPeers is the number of balancers in a failure domain below which snapshots
	// of other domains are restored, too: after a restart of everything, the fabric sends
	// the flows of a domain to others until a balancer of its own is ready.
	minDomainPeers = 3
	// maxSnapshotPeers is the maximum number of balancers whose snapshots are restored at
	// the start if some are in other failure domains.
	maxSnapshotPeers = 5
	// maxLoadAttempts bounds the attempts to load a snapshot. A late one is of little
	// use, as callers soon notice by themselves that a flow has ended.
	maxLoadAttempts = 8
)

// runSnapshots restores the hints that an earlier process of this balancer and its peers
// saved, and then saves snapshots of the hints of flows that this balancer forwards.
func (b *Balancer) runSnapshots(ctx context.Context) {
	b.restoreSnapshots(ctx)
	var schedule director.SnapshotSchedule
	next := snapshotInterval
	for {
		sleep(ctx, next)
		if ctx.Err() != nil || b.stopping.Load() {
			return
		}
		n, err := b.saveFlows(ctx, &schedule)
		if err != nil {
			b.errorLogger("snapshot of flows was not saved")(err)
		}
		next = max(snapshotInterval, time.Duration(n)*time.Second/snapshotRate)
	}
}

// restoreSnapshots restores the hints of this balancer's failure domain, and of some
// balancers of others if there are few in this one: after a restart of all processes, the
// fabric sends flows to whichever balancer is ready first.
func (b *Balancer) restoreSnapshots(ctx context.Context) {
	var l []FlowSnapshot
	b.retryLoad(ctx, func(c context.Context) (err error) {
		l, err = b.config.Registry.DomainFlows(c, b.config.Domain)
		return err
	})
	own := false
	for _, s := range l {
		own = own || s.Balancer == b.config.Name
		b.restore(s)
	}
	var w sync.WaitGroup
	defer w.Wait()
	if !own && len(l) > 0 {
		w.Go(func() { b.restoreSnapshot(ctx, b.config.Domain, b.config.Name) })
	}
	if len(l) < minDomainPeers {
		b.restoreOtherDomains(ctx, &w, maxSnapshotPeers-len(l))
	}
}

// restoreOtherDomains restores the snapshots of up to n balancers of other domains.
func (b *Balancer) restoreOtherDomains(ctx context.Context, w *sync.WaitGroup, n int) {
	c, cancel := store.WithStallTimeout(ctx, callTimeout)
	l, err := b.config.Registry.Balancers(c)
	cancel()
	if err != nil {
		b.errorLogger("cannot list balancers; flow hints of other domains are not restored")(err)
		return
	}
	l = slices.DeleteFunc(l, func(p BalancerRecord) bool { return p.Domain == b.config.Domain })
	slices.SortFunc(l, func(x, y BalancerRecord) int { return cmp.Compare(b.peerRank(x), b.peerRank(y)) })
	for _, p := range l[:min(len(l), n)] {
		w.Go(func() { b.restoreSnapshot(ctx, p.Domain, p.Name) })
	}
}

// peerRank orders peers differently for each balancer.
func (b *Balancer) peerRank(p BalancerRecord) uint64 {
	return xxh3.HashString(b.config.Name + "/" + p.Name)
}

func (b *Balancer) restoreSnapshot(ctx context.Context, domain, name string) {
	b.retryLoad(ctx, func(c context.Context) error {
		s, err := b.config.Registry.LoadFlows(c, domain, name)
		if err == nil {
			b.restore(FlowSnapshot{
				Balancer: name,
				Content:  s,
			})
		}
		return err
	})
}

// retryLoad calls load until it succeeds, at most maxLoadAttempts times.
func (b *Balancer) retryLoad(ctx context.Context, load func(context.Context) error) {
	for range maxLoadAttempts {
		c, cancel := store.WithStallTimeout(ctx, callTimeout)
		err := load(c)
		cancel()
		if err == nil {
			return
		}
		b.errorLogger("cannot load a snapshot of flows")(err)
		sleep(ctx, callRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
}

// restore passes the flow hints in the snapshot of one balancer to the model.
func (b *Balancer) restore(s FlowSnapshot) {
	l, err := decodeFlows(s.Content)
	if err != nil {
		b.errorLogger("snapshot of flows is malformed and is ignored")(err)
		return
	}
	for i := range l {
		l[i].Foreign = s.Balancer != b.config.Name
	}
	if len(l) == 0 {
		return
	}
	b.config.Log(LogEvent{
		Event: "restoring flow hints from a snapshot of a balancer",
		Name:  s.Balancer,
		Count: len(l),
	})
	b.update(director.RestoreMsg{
		Flows: l,
	})
}

// saveFlows saves a snapshot of flow hints if one is due, and returns its size in bytes,
// also when the registry did not store it.
func (b *Balancer) saveFlows(ctx context.Context, schedule *director.SnapshotSchedule) (int, error) {
	now := time.Now()
	b.mu.Lock()
	l := b.model.Snapshot(now, maxSnapshotFlows)
	b.mu.Unlock()
	if !schedule.Due(now, l) {
		return 0, nil
	}
	s, err := encodeFlows(l)
	if err != nil {
		return 0, err
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = b.config.Registry.SaveFlows(c, b.config.Domain, b.config.Name, s)
	if err == nil {
		schedule.Saved(now, l)
	}
	return len(s), err
}

// heldFlowsKey identifies the flows that are encoded together.
type heldFlowsKey struct {
	owner       string
	incarnation uint64
	confirmed   bool
}

func encodeFlows(l []director.FlowHint) ([]byte, error) {
	x := &controlpb.FlowSnapshot{}
	holders := map[heldFlowsKey]*controlpb.HeldFlows{}
	for _, f := range l {
		k := heldFlowsKey{
			owner:       f.Owner,
			incarnation: f.BackendIncarnation,
			confirmed:   f.Confirmed,
		}
		h := holders[k]
		if h == nil {
			h = &controlpb.HeldFlows{
				Holder:    f.Owner,
				Life:      f.BackendIncarnation,
				Confirmed: f.Confirmed,
			}
			holders[k] = h
			x.Holders = append(x.Holders, h)
		}
		h.Flows = append(h.Flows, relay.EncodeFlow(f.Tuple, f.Ack))
	}
	b, err := proto.Marshal(x)
	return b, errors.Wrap(err, "encode flows")
}

func decodeFlows(b []byte) ([]director.FlowHint, error) {
	x := &controlpb.FlowSnapshot{}
	if err := proto.Unmarshal(b, x); err != nil {
		return nil, errors.Wrap(err, "decode flows")
	}
	var l []director.FlowHint
	for _, h := range x.GetHolders() {
		for _, f := range h.GetFlows() {
			t, ok := relay.DecodeFlow(f)
			if !ok {
				continue
			}
			l = append(l, director.FlowHint{
				Tuple:              t,
				Ack:                f.GetAck(),
				Owner:              h.GetHolder(),
				BackendIncarnation: h.GetLife(),
				Confirmed:          h.GetConfirmed(),
			})
		}
	}
	return l, nil
}
