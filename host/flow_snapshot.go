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
		s, err := b.config.Registry.LoadFlows(c, b.config.Name)
		cancel()
		if err == nil {
			b.restore(s)
			return
		}
		b.failed("load flows")(err)
		pause(ctx, callPause)
		if ctx.Err() != nil {
			return
		}
	}
}

func (b *Balancer) restore(s []byte) {
	l, err := decodeFlows(s)
	if err != nil {
		b.failed("snapshot of flows cannot be read")(err)
		return
	}
	if len(l) == 0 {
		return
	}
	b.config.Note(Note{
		Event: "looking after flows of an earlier process",
		Count: len(l),
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
	for _, f := range l {
		x.Flows = append(x.Flows, relay.EncodeFlow(f.Tuple, f.Ack))
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
	for _, f := range x.GetFlows() {
		l = append(l, director.Remembered{
			Tuple: relay.DecodeFlow(f),
			Ack:   f.GetAck(),
		})
	}
	return l, nil
}
