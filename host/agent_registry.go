package host

import (
	"context"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
)

// register makes this agent known once its backend server is there, and before
// it takes flows. Without the registry it serves after a while all the same:
// balancers hear its reports.
func (a *Agent) register(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.alive:
	}
	started := time.Now()
	self := a.member()
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.config.Registry.RegisterAgent(c, self)
		cancel()
		if err == nil {
			a.registered.Store(true)
			a.mu.Lock()
			a.report(time.Now())
			a.mu.Unlock()
			return
		}
		a.failed("register agent", err)
		if time.Since(started) > registerPatience {
			a.registered.Store(true)
		}
		pause(ctx, callPause)
	}
}

func (a *Agent) member() director.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// followBalancers reads which balancers are there, at the start and now and
// then.
func (a *Agent) followBalancers(ctx context.Context) {
	cached := false
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		l, err := a.config.Registry.Balancers(c, cached)
		cancel()
		if err != nil {
			a.failed("list balancers", err)
			pause(ctx, callPause)
			continue
		}
		cached = true
		a.mu.Lock()
		now := time.Now()
		for _, x := range l {
			a.heard(now, x)
		}
		a.report(now)
		a.mu.Unlock()
		pause(ctx, listPeriod)
	}
}

// followDeclared reads what is declared about the service.
func (a *Agent) followDeclared(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		d, _, err := a.config.Registry.Config(c)
		cancel()
		if err != nil {
			a.failed("read configuration", err)
			pause(ctx, callPause)
			continue
		}
		s := d.Services[a.config.Backend.Service]
		a.healthPath.Store(&s.HealthPath)
		a.update(holder.ConfigMsg{
			ColdRate:    s.ColdRate,
			MaxFlows:    s.MaxFlows,
			IdleTimeout: d.IdleTimeout,
		})
		pause(ctx, declaredPeriod)
	}
}
