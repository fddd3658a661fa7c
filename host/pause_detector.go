package host

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector detects that the process was paused: by a signal, or because its
// machine was suspended, which the monotonic clock does not count.
type pauseDetector struct {
	steady time.Duration
	boot   time.Duration
}

// pauseLimit is the time between two checks after which the process counts as paused
// and its state as stale.
const pauseLimit = time.Second

// check reports whether the process was paused since the last check.
func (s *pauseDetector) check() bool {
	steady := readClock(unix.CLOCK_MONOTONIC)
	boot := readClock(unix.CLOCK_BOOTTIME)
	first := s.boot == 0
	gap := max(steady-s.steady, boot-s.boot)
	s.steady = steady
	s.boot = boot
	return !first && gap > pauseLimit
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
