package host

import (
	"context"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/store"
)

// register records each incarnation of the backend server before it takes flows. If
// the registry is unavailable, the backend server takes flows after
// holder.UnrecordedDelay all the same, since balancers get the reports of its agent.
func (a *Agent) register(ctx context.Context) {
	a.readEarlierRecord(ctx)
	incarnation, ok := a.nextIncarnation(ctx, 0)
	for ok {
		if a.recordIncarnation(ctx, incarnation) {
			incarnation, ok = a.nextIncarnation(ctx, incarnation)
			continue
		}
		incarnation = a.latestIncarnation(incarnation)
		ok = ctx.Err() == nil
	}
}

// readEarlierRecord reads the record of an earlier agent process. It retries until it
// succeeds or an incarnation waits to be recorded by this process.
func (a *Agent) readEarlierRecord(ctx context.Context) {
	for ctx.Err() == nil && len(a.incarnations) == 0 {
		c, cancel := store.WithStallTimeout(ctx, callTimeout)
		incarnation, err := a.config.Registry.RecordedIncarnation(c, a.config.Name)
		cancel()
		if err == nil {
			a.recorded = incarnation
			a.update(holder.EarlierRecordMsg{
				Incarnation: incarnation,
			})
			return
		}
		a.logError("cannot read the earlier record of this agent", err)
		sleep(ctx, callRetryDelay)
	}
}

// nextIncarnation waits for an incarnation of the backend server other than the last, or until
// the record of the agent is missing.
func (a *Agent) nextIncarnation(ctx context.Context, last uint64) (uint64, bool) {
	t := time.NewTicker(a.config.RecordCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, false
		case <-t.C:
			if a.recorded != 0 && !a.isRecorded(ctx, a.recorded) {
				a.logError("record of this agent is missing or has another incarnation; writing it again", nil)
				return a.recorded, true
			}
		case incarnation := <-a.incarnations:
			if incarnation != last {
				a.incarnationAt = time.Now()
				return incarnation, true
			}
		}
	}
}

// isRecorded reports whether the registry has the record of an incarnation, as far as is known.
func (a *Agent) isRecorded(ctx context.Context, incarnation uint64) bool {
	c, cancel := store.WithStallTimeout(ctx, callTimeout)
	defer cancel()
	x, err := a.config.Registry.CachedIncarnation(c, a.config.Name)
	return err != nil || x == incarnation
}

func (a *Agent) latestIncarnation(incarnation uint64) uint64 {
	select {
	case x := <-a.incarnations:
		a.incarnationAt = time.Now()
		return x
	default:
		return incarnation
	}
}

// recordIncarnation tries once to write the record and reports whether it was written.
func (a *Agent) recordIncarnation(ctx context.Context, incarnation uint64) bool {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	err := a.config.Registry.RegisterAgent(c, a.member(), incarnation)
	cancel()
	if err == nil || time.Since(a.incarnationAt) > holder.UnrecordedDelay {
		a.update(holder.RecordedMsg{
			Incarnation: incarnation,
			Failed:      err != nil,
		})
	}
	if err == nil {
		a.recorded = incarnation
		return true
	}
	a.logError("cannot record the incarnation of the backend server; retrying", err)
	sleep(ctx, callRetryDelay)
	return false
}

func (a *Agent) member() director.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// followBalancers reads the list of balancers at the start and every balancersInterval.
func (a *Agent) followBalancers(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := store.WithStallTimeout(ctx, callTimeout)
		l, err := a.config.Registry.Balancers(c)
		cancel()
		if err != nil {
			a.logError("cannot list balancers; retrying", err)
			sleep(ctx, callRetryDelay)
			continue
		}
		a.update(holder.BalancersMsg{
			Addresses: addresses(l),
		})
		if len(l) == 0 {
			// All processes may be starting, and balancers are about to register.
			sleep(ctx, callRetryDelay)
			continue
		}
		sleep(ctx, balancersInterval)
	}
}

// followDeclared reads the declared configuration of the service every declaredInterval.
func (a *Agent) followDeclared(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := store.WithStallTimeout(ctx, callTimeout)
		d, err := a.config.Registry.CachedConfig(c)
		cancel()
		if err != nil {
			a.logError("cannot read the configuration; retrying", err)
			sleep(ctx, callRetryDelay)
			continue
		}
		path := d.Services[a.config.Backend.Service].HealthPath
		a.healthPath.Store(&path)
		a.update(serviceConfig(d, a.config.Backend.Service))
		sleep(ctx, declaredInterval)
	}
}
