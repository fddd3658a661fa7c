package target

import (
	"math"
	"time"
)

// GateConfig bounds what one target is given.
type GateConfig struct {
	// Limit is the number of open flows that the target may ever hold.
	Limit uint32
	// ColdShare is the part of its capacity that a cold target bears, 0 to 1.
	ColdShare float64
	// Warmup is the time from cold to the whole capacity.
	Warmup time.Duration
}

// Gate admits flows to one target. It is the only place where a flow is
// admitted, so the bound is exact however stale the reports of others are. A
// Gate belongs to one goroutine.
//
//	g := target.NewGate(config, now)
//	if g.Admit(now) { defer g.Release(now) }
type Gate struct {
	config    GateConfig
	active    uint32
	coldSince time.Time
	restarts  uint32
	capacity  learner
	latency   latencyWatch
	losses    lossWatch
}

// NewGate returns a gate for a target that has just started and is cold.
func NewGate(c GateConfig, now time.Time) *Gate {
	return &Gate{
		config:    c,
		coldSince: now,
		capacity:  newLearner(c.Limit),
	}
}

// Configure replaces the declared bounds and keeps what was learned.
func (g *Gate) Configure(c GateConfig) {
	if c.Limit != g.config.Limit {
		g.capacity.rescale(c.Limit)
	}
	g.config = c
}

// Admit takes one place and reports whether there was one.
func (g *Gate) Admit(now time.Time) bool {
	if g.active >= g.Limit(now) {
		return false
	}
	g.active++
	return true
}

// Release gives one place back.
func (g *Gate) Release() {
	if g.active > 0 {
		g.active--
	}
}

// Active returns the number of places taken.
func (g *Gate) Active() uint32 {
	return g.active
}

// Limit returns the number of flows that the target bears at a time. It is at
// least one, so that a cold target can prove itself.
func (g *Gate) Limit(now time.Time) uint32 {
	n := math.Floor(g.capacity.estimate * g.warmth(now))
	n = min(n, float64(g.config.Limit))
	return uint32(max(n, 1))
}

// Capacity returns the learned number of flows the target bears when warm.
func (g *Gate) Capacity() uint32 {
	return uint32(max(1, math.Round(g.capacity.estimate)))
}

// Cold reports whether the target is still warming up.
func (g *Gate) Cold(now time.Time) bool {
	return now.Sub(g.coldSince) < g.config.Warmup
}

// Restarts returns how often the target was found to have turned cold.
func (g *Gate) Restarts() uint32 {
	return g.restarts
}

// RestartWarmup starts the warm-up again.
func (g *Gate) RestartWarmup(now time.Time) {
	g.coldSince = now
	g.restarts++
	g.latency = latencyWatch{}
	g.losses = lossWatch{}
	g.capacity.forget()
}

// ObserveLoad takes the load that the target reports about itself, as a share
// of what it can bear. It reports whether the target has turned cold.
func (g *Gate) ObserveLoad(now time.Time, load float64) bool {
	cold := g.capacity.observe(g.active, load, g.warmth(now))
	if cold && !g.Cold(now) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// ObserveLatency takes the time from a caller's bytes to the first bytes of
// the answer. It reports whether the target has turned cold.
func (g *Gate) ObserveLatency(now time.Time, d time.Duration) bool {
	slow := g.latency.observe(now, d)
	if slow && !g.Cold(now) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// ObserveLoss takes the end of a flow by the target without a farewell. It
// reports whether so many ended at once that the target must have restarted.
func (g *Gate) ObserveLoss(now time.Time) bool {
	if g.losses.observe(now, g.active) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// warmth rises from the cold share to one over the warm-up.
func (g *Gate) warmth(now time.Time) float64 {
	if g.config.Warmup <= 0 {
		return 1
	}
	x := float64(now.Sub(g.coldSince)) / float64(g.config.Warmup)
	x = min(max(x, 0), 1)
	return g.config.ColdShare + (1-g.config.ColdShare)*x
}
