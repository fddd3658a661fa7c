package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer of log lines that never blocks: a goroutine writes the
// lines from a bounded queue. While the queue is full, lines are dropped and
// counted.
type AsyncWriter struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// queueLines is the capacity of the queue: two bursts of the RateLimiter, some 60 KB.
const queueLines = 400

// NewAsyncWriter returns an AsyncWriter that writes to w, and starts its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		writer:  w,
		lines:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues one line. It returns no error; Dropped counts the lines that did not
// fit.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (a *AsyncWriter) Dropped() uint64 {
	return a.dropped.Swap(0)
}

// Close writes the queued lines for at most the time limit: an output that is no
// longer read must not keep the process from exiting.
func (a *AsyncWriter) Close(limit time.Duration) {
	a.once.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(limit):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case b := <-a.lines:
			a.write(b)
		case <-a.closing:
			a.flush()
			return
		}
	}
}

func (a *AsyncWriter) flush() {
	for {
		select {
		case b := <-a.lines:
			a.write(b)
		default:
			return
		}
	}
}

// write writes a line. It counts a failed write as a dropped line, because the
// failure cannot be logged.
func (a *AsyncWriter) write(b []byte) {
	if _, err := a.writer.Write(b); err != nil {
		a.dropped.Add(1)
	}
}
