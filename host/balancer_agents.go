package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/director"
)

func (c *BalancerConfig) unregister(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Registry.UnregisterBalancer(x, c.Name)
	err = errors.CombineErrors(err, c.Registry.DropFlows(x, c.Name))
	if err != nil {
		c.Note(Note{
			Event: "record was not removed",
			Err:   err,
		})
	}
}

func (b *Balancer) failed(event string) func(error) {
	return func(err error) {
		b.config.Note(Note{
			Event: event,
			Err:   err,
		})
	}
}

// followAgents lists the registered agents at the start, whenever a decision
// needs a fresh list, and now and then.
func (b *Balancer) followAgents(ctx context.Context) {
	fresh := true
	for ctx.Err() == nil {
		asked := time.Now()
		c, cancel := context.WithTimeout(ctx, callTimeout)
		l, err := b.config.Registry.Agents(c, !fresh)
		cancel()
		if err != nil {
			b.failed("list agents")(err)
			pause(ctx, callPause)
			continue
		}
		if !fresh {
			// A cached list may be older than any time of asking.
			asked = time.Time{}
		}
		b.update(director.MembersMsg{
			Members: l,
			Asked:   asked,
		})
		fresh = b.waitList(ctx)
	}
}

// waitList reports whether a fresh list is wanted.
func (b *Balancer) waitList(ctx context.Context) bool {
	period := listPeriod
	if b.Stats().Members == 0 {
		period = emptyListPeriod
	}
	t := time.NewTimer(period)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-b.list:
		return true
	}
	return false
}

func (b *Balancer) register(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := b.config.Registry.RegisterBalancer(c, b.config.Name, b.config.Domain, b.config.Peer)
		cancel()
		if err == nil {
			return
		}
		b.failed("register balancer")(err)
		pause(ctx, callPause)
	}
}
