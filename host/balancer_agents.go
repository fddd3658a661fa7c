package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/store"
)

func (c *BalancerConfig) unregister(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Registry.UnregisterBalancer(callCtx, c.Name)
	err = errors.CombineErrors(err, c.Registry.DeleteFlows(callCtx, c.Domain, c.Name))
	if err != nil {
		c.Log(LogEvent{
			Event: "record or flow snapshot of this balancer was not removed from the registry",
			Err:   err,
		})
	}
}

func (b *Balancer) errorLogger(event string) func(error) {
	return func(err error) {
		b.config.Log(LogEvent{
			Event: event,
			Err:   err,
		})
	}
}

// agentsSettleTime is the time for which changes of the list of agents are collected. When
// all agents of a region start, each would otherwise end a wait at every watcher. New
// agents also report to the balancers themselves.
const agentsSettleTime = 400 * time.Millisecond

// followAgents follows the list of registered agents. Only a list that a call to the
// registry has confirmed gets the time of that call: what peers pass on may be older.
func (b *Balancer) followAgents(ctx context.Context) {
	w := store.Watcher[director.MemberChanges]{
		Read:     b.config.Registry.Agents,
		Wait:     b.config.Registry.WaitAgents,
		WaitTime: b.waitTime(freshness.KindAgents),
		Settle:   agentsSettleTime,
		Refresh:  b.readRequests[freshness.KindAgents],
		Changed:  b.adoptAgents,
		Confirmed: func(started time.Time) {
			b.update(director.MembersMsg{
				RequestedAt: started,
			})
			b.confirmed(freshness.KindAgents)(started)
		},
		Failed: b.errorLogger("cannot follow the list of agents; retrying"),
	}
	w.Run(ctx)
}

// adoptAgents applies changes of the list of agents.
func (b *Balancer) adoptAgents(c director.MemberChanges, at store.Revision) {
	b.mu.Lock()
	if b.agents.Apply(c, at) {
		b.apply(director.MembersMsg{
			MemberChanges: c,
		})
	}
	m := freshness.AdoptedMsg{
		Kind:  freshness.KindAgents,
		State: b.agents.State(),
	}
	b.mu.Unlock()
	b.updateFreshness(m)
}

func (b *Balancer) register(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := b.config.Registry.RegisterBalancer(c, BalancerRecord{
			Name:    b.config.Name,
			Domain:  b.config.Domain,
			Address: b.config.PeerAddress,
		})
		cancel()
		if err == nil {
			return
		}
		b.errorLogger("cannot register this balancer; retrying")(err)
		sleep(ctx, callRetryDelay)
	}
}
