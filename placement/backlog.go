package placement

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
)

// PriorityLevels is the number of levels of urgency that are distinguished; the last one includes
// all further priorities.
const PriorityLevels = 8

// Level returns the level of a priority.
func Level(p routing.Priority) int {
	return min(int(p), PriorityLevels-1)
}

const (
	// maxBacklog bounds what a false report can state.
	maxBacklog = time.Minute
	// maxSlots bounds the speed at which a backlog is assumed to shrink.
	maxSlots = 1024
)

// Backlog estimates the work ahead of a new flow at a target between two reports, which are
// half a second apart. The work shrinks by the target's slots as time passes, and grows by what
// was placed since. Work is kept by priority, because less urgent work waits behind.
type Backlog struct {
	known     bool
	slots     time.Duration
	updatedAt time.Time
	// ahead has, by level, the work that is at least as urgent.
	ahead [PriorityLevels]time.Duration
	// reported and placed are its parts of reportedAt and since then, which do not shrink.
	reported   [PriorityLevels]time.Duration
	placed     [PriorityLevels]time.Duration
	reportedAt time.Time
}

// SetReport replaces the estimate by a report. A load without any entry says nothing: the
// target has learned no costs yet.
func (b *Backlog) SetReport(now time.Time, l cost.Load, slots uint32) {
	*b = Backlog{
		known:     l.Running > 0 || len(l.Queued) > 0 || len(l.Routes) > 0,
		slots:     time.Duration(min(max(slots, 1), maxSlots)),
		updatedAt: now,

		reportedAt: now,
	}
	for i := range b.ahead {
		b.ahead[i] = bounded(l.Rest)
	}
	for _, q := range l.Queued {
		grow(&b.ahead, Level(q.Priority), bounded(q.Work))
	}
	b.reported = b.ahead
}

// Place adds the work of a flow that was placed at the target.
func (b *Backlog) Place(now time.Time, p routing.Priority, work time.Duration) {
	b.advance(now)
	grow(&b.ahead, Level(p), bounded(work))
	grow(&b.placed, Level(p), bounded(work))
}

// Remove subtracts the work of a flow that the target has returned. It still counts in Share,
// because the target was busy.
func (b *Backlog) Remove(now time.Time, p routing.Priority, work time.Duration) {
	b.advance(now)
	grow(&b.ahead, Level(p), -bounded(work))
}

// Known reports whether the latest report had a load.
func (b *Backlog) Known() bool {
	return b.known
}

// Ahead returns the work that is at least as urgent as a priority, if the target gets no flows
// from others and has worked on all slots since the report. It is the least that is likely.
func (b *Backlog) Ahead(now time.Time, p routing.Priority) time.Duration {
	return max(0, b.ahead[Level(p)]-b.done(now, b.updatedAt))
}

// Share returns the work for the comparison of targets: what was reported shrinks, but not
// what was placed since then. So each balancer spreads the flows between two reports over the
// targets by their speed and slots, instead of sending all to the one that was idle.
func (b *Backlog) Share(now time.Time, p routing.Priority) time.Duration {
	return max(0, b.reported[Level(p)]-b.done(now, b.reportedAt)) + b.placed[Level(p)]
}

func grow(l *[PriorityLevels]time.Duration, level int, work time.Duration) {
	for i := level; i < PriorityLevels; i++ {
		l[i] = min(max(0, l[i]+work), maxBacklog)
	}
}

// done returns the work that the target can do from since until now.
func (b *Backlog) done(now, since time.Time) time.Duration {
	return bounded(now.Sub(since)) * max(b.slots, 1)
}

func (b *Backlog) advance(now time.Time) {
	d := b.done(now, b.updatedAt)
	for i := range b.ahead {
		b.ahead[i] = max(0, b.ahead[i]-d)
	}
	b.updatedAt = now
}

func bounded(d time.Duration) time.Duration {
	return min(max(0, d), maxBacklog)
}
