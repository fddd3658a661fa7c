package telemetry

import (
	"sync"
	"time"
)

// RateLimiter limits the lines of a log to a rate and counts the lines left out.
type RateLimiter struct {
	// PerSecond is the mean number of lines per second, Burst the maximum number at
	// one time.
	PerSecond float64
	Burst     float64

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
	skipped   uint64
}

// Allow reports whether a line may be written now, and how many were left out
// since the last line.
func (b *RateLimiter) Allow(now time.Time) (skipped uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.updatedAt.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+b.PerSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		b.skipped++
		return 0, false
	}
	b.tokens--
	skipped = b.skipped
	b.skipped = 0
	return skipped, true
}
