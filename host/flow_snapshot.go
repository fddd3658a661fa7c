package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/relay"
	"google.golang.org/protobuf/proto"
)

const (
	// snapshotPeriod is the time between two snapshots of the flows. Flows last
	// for minutes to hours.
	snapshotPeriod = 5 * time.Second
	// snapshotFlows bounds a snapshot to some 16 KB: with the period, 3 KB a
	// second.
	snapshotFlows = 600
	// loadTries bounds the attempts to load a snapshot: callers notice by
	// themselves soon.
	loadTries = 8
)

// keepFlows looks after the flows of an earlier process and then keeps a
// snapshot of its own.
func (b *Balancer) keepFlows(ctx context.Context) {
	b.restoreFlows(ctx)
	for {
		pause(ctx, snapshotPeriod)
		if ctx.Err() != nil || b.stopping.Load() {
			return
		}
		if err := b.saveFlows(ctx); err != nil {
			b.failed("flows were not saved")(err)
		}
	}
}

func (b *Balancer) restoreFlows(ctx context.Context) {
	for range loadTries {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		all, err := b.config.Registry.LoadFlows(c)
		cancel()
		if err == nil {
			b.restore(b.config.Name, all[b.config.Name])
			delete(all, b.config.Name)
			for n, s := range all {
				b.restore(n, s)
			}
			return
		}
		b.failed("load flows")(err)
		pause(ctx, callPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// restore takes the snapshot of one balancer. After a restart of everything, the
// fabric sends flows to whichever balancer is ready first.
func (b *Balancer) restore(name string, s []byte) {
	l, err := decodeFlows(s)
	if err != nil {
		b.failed("snapshot of flows cannot be read")(err)
		return
	}
	for i := range l {
		l[i].Foreign = name != b.config.Name
	}
	if len(l) == 0 {
		return
	}
	b.config.Note(Note{
		Event:  "looking after flows of an earlier process",
		Member: name,
		Count:  len(l),
	})
	b.update(director.RestoreMsg{
		Flows: l,
	})
}

func (b *Balancer) saveFlows(ctx context.Context) error {
	b.mu.Lock()
	l := b.model.Snapshot(time.Now(), snapshotFlows)
	b.mu.Unlock()
	if len(l) == 0 {
		return nil
	}
	s, err := encodeFlows(l)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.config.Registry.SaveFlows(c, b.config.Name, s)
}

func encodeFlows(l []director.Remembered) ([]byte, error) {
	x := &controlpb.FlowSnapshot{}
	holders := map[string]*controlpb.HeldFlows{}
	for _, f := range l {
		h := holders[f.Holder]
		if h == nil {
			h = &controlpb.HeldFlows{
				Holder: f.Holder,
				Life:   f.Life,
			}
			holders[f.Holder] = h
			x.Holders = append(x.Holders, h)
		}
		h.Flows = append(h.Flows, relay.EncodeFlow(f.Tuple, f.Ack))
	}
	b, err := proto.Marshal(x)
	return b, errors.Wrap(err, "encode flows")
}

func decodeFlows(b []byte) ([]director.Remembered, error) {
	x := &controlpb.FlowSnapshot{}
	if err := proto.Unmarshal(b, x); err != nil {
		return nil, errors.Wrap(err, "decode flows")
	}
	var l []director.Remembered
	for _, h := range x.GetHolders() {
		for _, f := range h.GetFlows() {
			l = append(l, director.Remembered{
				Tuple:  relay.DecodeFlow(f),
				Ack:    f.GetAck(),
				Holder: h.GetHolder(),
				Life:   h.GetLife(),
			})
		}
	}
	return l, nil
}
