package host

import (
	"context"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
)

// register records each life of the backend server before it takes flows.
// Without the registry it serves after a while all the same: balancers hear its
// reports.
func (a *Agent) register(ctx context.Context) {
	a.readRecord(ctx)
	born, ok := a.nextLife(ctx, 0)
	for ok {
		if a.recordLife(ctx, born) {
			born, ok = a.nextLife(ctx, born)
			continue
		}
		born = a.latestLife(born)
		ok = ctx.Err() == nil
	}
}

// readRecord reads what an earlier process had recorded, until it is known or
// this process has recorded something itself.
func (a *Agent) readRecord(ctx context.Context) {
	for ctx.Err() == nil && len(a.lives) == 0 {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		born, err := a.config.Registry.RecordedIncarnation(c, a.config.Name)
		cancel()
		if err == nil {
			a.update(holder.EarlierRecordMsg{
				Incarnation: born,
			})
			return
		}
		a.failed("read own record", err)
		pause(ctx, callPause)
	}
}

// nextLife waits for a life of the backend server other than the last.
func (a *Agent) nextLife(ctx context.Context, last uint64) (uint64, bool) {
	for {
		select {
		case <-ctx.Done():
			return 0, false
		case born := <-a.lives:
			if born != last {
				a.lifeAt = time.Now()
				return born, true
			}
		}
	}
}

func (a *Agent) latestLife(born uint64) uint64 {
	select {
	case x := <-a.lives:
		a.lifeAt = time.Now()
		return x
	default:
		return born
	}
}

// recordLife tries once and reports whether the record was written.
func (a *Agent) recordLife(ctx context.Context, born uint64) bool {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	err := a.config.Registry.RegisterAgent(c, a.member(), born)
	cancel()
	if err == nil || time.Since(a.lifeAt) > registerPatience {
		a.update(holder.RecordedMsg{
			Incarnation: born,
		})
	}
	if err == nil {
		return true
	}
	a.failed("record backend server", err)
	pause(ctx, callPause)
	return false
}

func (a *Agent) member() director.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// followBalancers reads which balancers are there, at the start and now and
// then.
func (a *Agent) followBalancers(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		l, err := a.config.Registry.Balancers(c)
		cancel()
		if err != nil {
			a.failed("list balancers", err)
			pause(ctx, callPause)
			continue
		}
		a.update(holder.BalancersMsg{
			Addresses: addresses(l),
		})
		if len(l) == 0 {
			// Everything starts at once; balancers are about to register.
			pause(ctx, callPause)
			continue
		}
		pause(ctx, balancersPeriod)
	}
}

// followDeclared reads what is declared about the service.
func (a *Agent) followDeclared(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		d, err := a.config.Registry.CachedConfig(c)
		cancel()
		if err != nil {
			a.failed("read configuration", err)
			pause(ctx, callPause)
			continue
		}
		s := d.Services[a.config.Backend.Service]
		a.healthPath.Store(&s.HealthPath)
		a.update(holder.ConfigMsg{
			Version:     uint64(d.Version),
			ColdRate:    s.ColdRate,
			MaxFlows:    s.MaxFlows,
			IdleTimeout: d.IdleTimeout,
		})
		pause(ctx, declaredPeriod)
	}
}
