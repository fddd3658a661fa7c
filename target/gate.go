package target

import (
	"math"
	"time"
)

// GateConfig limits the flows that are admitted to one target.
type GateConfig struct {
	// Limit is the maximum number of open flows that the target may hold at a time.
	Limit uint32
	// ColdShare is the share of its capacity that a cold target has, 0 to 1.
	ColdShare float64
	// Warmup is the time in which a cold target reaches its whole capacity.
	Warmup time.Duration
}

// Gate admits flows to one target. It is the only place where a flow is
// admitted, so the bound is exact however stale the reports of others are. A
// Gate belongs to one goroutine.
//
//	g := target.NewGate(config, now)
//	if g.Admit(now) { defer g.Release() }
type Gate struct {
	config GateConfig
	// active is the number of flows admitted and not released.
	active    uint32
	coldSince time.Time
	restarts  uint32
	capacity  capacityEstimator
	latency   latencyMonitor
	losses    lossMonitor
}

// NewGate returns a gate for a target that has just started and is cold.
func NewGate(c GateConfig, now time.Time) *Gate {
	return &Gate{
		config:    c,
		coldSince: now,
		capacity:  newCapacityEstimator(c.Limit),
	}
}

// Configure replaces the declared limits. The learned share of the limit is kept.
func (g *Gate) Configure(c GateConfig) {
	if c.Limit != g.config.Limit {
		g.capacity.rescale(c.Limit)
	}
	g.config = c
}

// Admit reports whether one more flow is admitted, and if so, counts it.
func (g *Gate) Admit(now time.Time) bool {
	if g.active >= g.Limit(now) {
		return false
	}
	g.active++
	return true
}

// Release removes an admitted flow that has ended.
func (g *Gate) Release() {
	if g.active > 0 {
		g.active--
	}
}

// Active returns the number of admitted flows that have not been released.
func (g *Gate) Active() uint32 {
	return g.active
}

// Limit returns the number of flows that the target can handle at a time. It is at
// least one, so that the capacity of a cold target can be observed, even if the
// configured limit is zero.
func (g *Gate) Limit(now time.Time) uint32 {
	n := math.Floor(g.capacity.estimate * g.warmupShare(now))
	n = min(n, float64(g.config.Limit))
	return uint32(max(n, 1))
}

// Capacity returns the learned number of flows that the target can handle when warm.
func (g *Gate) Capacity() uint32 {
	return uint32(max(1, math.Round(g.capacity.estimate)))
}

// Cold reports whether the target is still warming up.
func (g *Gate) Cold(now time.Time) bool {
	return now.Sub(g.coldSince) < g.config.Warmup
}

// Restarts returns how often the warm-up was restarted.
func (g *Gate) Restarts() uint32 {
	return g.restarts
}

// RestartWarmup treats the target as cold from now on.
func (g *Gate) RestartWarmup(now time.Time) {
	g.coldSince = now
	g.restarts++
	g.latency = latencyMonitor{}
	g.losses = lossMonitor{}
	g.capacity.clearRecent()
}

// ObserveLoad takes the load that the target reports about itself, as a share of its
// capacity. It reports whether the target was found to be cold again.
func (g *Gate) ObserveLoad(now time.Time, load float64) bool {
	cold := g.capacity.observe(g.active, load, g.warmupShare(now))
	if cold && !g.Cold(now) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// ObserveLatency takes the time from a caller's bytes to the first bytes of the
// response. It reports whether the target was found to be cold again.
func (g *Gate) ObserveLatency(now time.Time, d time.Duration) bool {
	slow := g.latency.observe(now, d)
	if slow && !g.Cold(now) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// ObserveLoss records a flow that the target dropped without closing it, and that was
// released before the call. It reports whether so many were dropped within lossWindow
// that the target must have restarted.
func (g *Gate) ObserveLoss(now time.Time) bool {
	if g.losses.observe(now, g.active) {
		g.RestartWarmup(now)
		return true
	}
	return false
}

// warmupShare returns the share of the capacity that the target has now. It rises
// linearly from ColdShare to one over the warm-up.
func (g *Gate) warmupShare(now time.Time) float64 {
	if g.config.Warmup <= 0 {
		return 1
	}
	progress := float64(now.Sub(g.coldSince)) / float64(g.config.Warmup)
	progress = min(max(progress, 0), 1)
	return g.config.ColdShare + (1-g.config.ColdShare)*progress
}
