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

// Allow reports whether a line may be written now, and if so, how many were left out
// since the last line.
func (l *RateLimiter) Allow(now time.Time) (skipped uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.updatedAt.IsZero() {
		l.tokens = l.Burst
	} else {
		l.tokens = min(l.Burst, l.tokens+l.PerSecond*now.Sub(l.updatedAt).Seconds())
	}
	l.updatedAt = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped = l.skipped
	l.skipped = 0
	return skipped, true
}
