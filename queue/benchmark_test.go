package queue_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

// cycle adds a request of two packets and starts one.
func cycle(q *queue.Queue, now time.Time, id int, p queue.Packet) {
	q.Recycle()
	p.Segment.Sequence = 1
	r, ok := q.Add(now, testArrival(now, id, routing.Priority(id%3), time.Second, 40*time.Millisecond), p)
	if ok {
		p.Segment.Sequence += uint32(p.Segment.Length)
		q.Append(r, p)
	}
	for range q.Next(now).Packets() {
		p.Segment.Sequence++
	}
}

func filled(packets int, p queue.Packet) (*queue.Queue, time.Time) {
	q := queue.New(queue.Limits{})
	now := start
	for i := range packets {
		now = now.Add(time.Millisecond)
		q.Add(now, testArrival(now, i, routing.Priority(i%3), time.Second, 40*time.Millisecond), p)
	}
	return q, now
}

// TestNoAllocations guards against memory that is not reused once the queue was in use.
func TestNoAllocations(t *testing.T) {
	q, now := filled(500, testPacket(1200))
	i := 0
	p := testPacket(1200)
	run := func() {
		i++
		now = now.Add(time.Millisecond)
		cycle(q, now, i, p)
	}
	for range 1000 {
		run()
	}
	require.Zero(t, testing.AllocsPerRun(1000, run))
}

func BenchmarkQueue(b *testing.B) {
	q, now := filled(500, testPacket(1200))
	p := testPacket(1200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		cycle(q, now, i, p)
	}
}

// BenchmarkFullQueue reports the memory of a queue that is filled to its default limits.
func BenchmarkFullQueue(b *testing.B) {
	for name, size := range map[string]int{
		"small": 100,
		"large": 2048,
	} {
		b.Run(name, func(b *testing.B) {
			p := testPacket(size)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := 0
			var q *queue.Queue
			for b.Loop() {
				q, _ = filled(queue.DefaultPackets+1, p)
				n = q.Packets()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/queue")
			b.ReportMetric(float64(n), "packets/queue")
			runtime.KeepAlive(q)
		})
	}
}
