package host

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector detects that the process was paused: by a signal, or because its
// machine was suspended, which the monotonic clock does not count.
type pauseDetector struct {
	monotonic time.Duration
	boot      time.Duration
}

// pauseLimit is the time between two checks after which the process counts as paused
// and its state as stale.
const pauseLimit = time.Second

// check reports whether the process was paused since the last check.
func (p *pauseDetector) check() bool {
	monotonic := readClock(unix.CLOCK_MONOTONIC)
	boot := readClock(unix.CLOCK_BOOTTIME)
	first := p.boot == 0
	gap := max(monotonic-p.monotonic, boot-p.boot)
	p.monotonic = monotonic
	p.boot = boot
	return !first && gap > pauseLimit
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
