package telemetry

import (
	"sync"
	"time"
)

// RateLimiter limits the lines of a log to a rate, and counts those left out.
type RateLimiter struct {
	// PerSecond is the mean rate and Burst the most at a time.
	PerSecond float64
	Burst     float64

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	skipped uint64
}

// Allow reports whether a line may be written now, and how many were left out
// since the last one.
func (b *RateLimiter) Allow(now time.Time) (skipped uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+b.PerSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		b.skipped++
		return 0, false
	}
	b.tokens--
	skipped = b.skipped
	b.skipped = 0
	return skipped, true
}
