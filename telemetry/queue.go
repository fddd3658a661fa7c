package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer of log lines that never blocks: lines wait in a bounded ring
// for a goroutine that writes them, and are counted and dropped while it is full.
type AsyncWriter struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// queueLines is the capacity of a Queue: two bursts of Bounded, some 60 KB.
const queueLines = 400

// NewAsyncWriter returns a queue before a writer and starts its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		writer:  w,
		lines:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go q.run()
	return q
}

// Write takes one line. It always succeeds; Dropped tells of lines that were
// left out.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines left out since the last call.
func (q *AsyncWriter) Dropped() uint64 {
	return q.dropped.Swap(0)
}

// Close writes what waits, for a limited time: a reader of the output that has
// stopped must not keep the process from its end.
func (q *AsyncWriter) Close(limit time.Duration) {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}

func (q *AsyncWriter) run() {
	defer close(q.done)
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		case <-q.closing:
			q.flush()
			return
		}
	}
}

func (q *AsyncWriter) flush() {
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		default:
			return
		}
	}
}

// write counts a line that could not be written; there is nowhere to log it.
func (q *AsyncWriter) write(b []byte) {
	if _, err := q.writer.Write(b); err != nil {
		q.dropped.Add(1)
	}
}
