package store

import (
	"math/rand/v2"
	"time"
)

// Breaker decides when a process may call a store that fails. While the store is down,
// every duty of every process would otherwise repeat its call several times a second; with
// a breaker, one call a process probes the store after growing delays, and the others wait
// for its outcome. It is not safe for concurrent use.
type Breaker struct {
	config   BreakerConfig
	failures int
	delay    time.Duration
	probeAt  time.Time
	// probing is set while a probe is in flight, since probeAt.
	probing bool
}

// BreakerConfig has the settings of a Breaker.
type BreakerConfig struct {
	// MaxDelay is the longest delay between two probes, before jitter.
	MaxDelay time.Duration
	// Rand returns a number below one for the jitter; nil means rand.Float64.
	Rand func() float64
}

const (
	// breakerThreshold is the number of failures in a row that open the breaker. A single
	// call may fail because its connection went silent.
	breakerThreshold = 2
	// minProbeDelay is the delay before the first probe. It doubles with each failed one.
	minProbeDelay = 200 * time.Millisecond
	// probeTimeout is the time after which the next call becomes the probe: the present one
	// may be a long wait for a change.
	probeTimeout = time.Second
)

// NewBreaker returns a closed breaker.
func NewBreaker(c BreakerConfig) *Breaker {
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	return &Breaker{
		config: c,
	}
}

// Admit reports whether a call may start now. If not, it returns the time until the next
// attempt to start it.
func (b *Breaker) Admit(now time.Time) (time.Duration, bool) {
	if b.failures < breakerThreshold {
		return 0, true
	}
	waiting := b.probing && now.Sub(b.probeAt) < probeTimeout
	if waiting || now.Before(b.probeAt) {
		return max(b.probeAt.Sub(now), admitInterval), false
	}
	b.probing = true
	b.probeAt = now
	return 0, true
}

// admitInterval is the time between two attempts to start a call while a probe is in
// flight.
const admitInterval = 20 * time.Millisecond

// Succeeded records that a call got a response from the store.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.delay = 0
	b.probing = false
}

// Failed records that a call got no response, or the store refused it.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.failures < breakerThreshold || (!b.probing && now.Before(b.probeAt)) {
		return
	}
	b.probing = false
	b.delay = min(max(2*b.delay, minProbeDelay), b.config.MaxDelay)
	b.probeAt = now.Add(b.delay/2 + time.Duration(b.config.Rand()*float64(b.delay)))
}
