package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilshed/lentilshed/intent"
)

// watch counts the decreases of the revision of a running balancer, and records
// when changes are in force.
func (r *races) watch(stop <-chan struct{}) {
	seen := map[any]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(inForcePollInterval):
		}
		r.mu.Lock()
		low := ^uint64(0)
		high := uint64(0)
		for _, b := range r.system.balancers {
			n := b.State().IntentRevision
			if n < seen[b] {
				r.result.Reverted++
			}
			seen[b] = n
			low = min(low, n)
			high = max(high, n)
		}
		r.updatePending(low, high)
		r.mu.Unlock()
	}
}

// updatePending records which pending changes have reached a balancer, and
// removes those that are in force on all. low and high are the lowest and the
// highest revision of any balancer.
func (r *races) updatePending(low, high uint64) {
	now := time.Now()
	rest := r.pending[:0]
	for _, c := range r.pending {
		if c.revision <= high && c.firstReceivedAt.IsZero() {
			c.firstReceivedAt = now
		}
		if c.revision > low {
			rest = append(rest, c)
			continue
		}
		_ = r.inForceTimes.RecordValue(now.Sub(c.acceptedAt).Microseconds())
		r.recordSlowest(c, now)
	}
	r.pending = rest
}

// recordSlowest records the change if it took longer than all before, with the
// faults that began from one faultInterval before its acceptance until it was
// in force.
func (r *races) recordSlowest(c pendingChange, now time.Time) {
	took := now.Sub(c.acceptedAt).Milliseconds()
	if took <= r.result.Slowest.TookMS {
		return
	}
	s := SlowestChange{
		AcceptedMS:      c.acceptedAt.Sub(r.started).Milliseconds(),
		TookMS:          took,
		FirstReceivedMS: c.firstReceivedAt.Sub(c.acceptedAt).Milliseconds(),
	}
	for _, f := range r.faults {
		if f.at.After(c.acceptedAt.Add(-faultInterval)) {
			s.Faults = append(s.Faults, fmt.Sprintf("%s at %d ms", f.name, f.at.Sub(r.started).Milliseconds()))
		}
	}
	r.result.Slowest = s
}

// check compares the accepted changes and the balancers with the document that
// the platform stores, and completes the result. A change that is still pending
// counts as lost.
func (r *races) check() error {
	h, err := intent.NewStore(r.newClient(0), measureRegion).Read(context.Background())
	if err != nil {
		return err
	}
	byRevision := map[uint64]string{}
	for id, n := range r.accepted {
		if byRevision[n] != "" {
			r.result.AppliedTwice++
		}
		byRevision[n] = id
	}
	occurrences := map[string]int{}
	for _, o := range h.Document.Operations {
		occurrences[o.GetId()]++
		if n, ok := r.accepted[o.GetId()]; ok && n != o.GetRevision() {
			r.result.Lost++
		}
	}
	for _, n := range occurrences {
		if n > 1 {
			r.result.AppliedTwice++
		}
	}
	for _, n := range r.accepted {
		if n > h.Document.Revision {
			r.result.Lost++
		}
	}
	r.result.Lost += len(r.pending)
	for _, b := range r.system.balancers {
		if b.State().IntentRevision != h.Document.Revision {
			r.result.InstancesDisagreeing++
		}
	}
	r.result.Balancers = r.config.Balancers
	r.result.Seed = r.config.Seed
	r.result.Faults = r.config.Faults
	r.result.InForceP50MS = float64(r.inForceTimes.ValueAtQuantile(50)) / 1000
	r.result.InForceP99MS = float64(r.inForceTimes.ValueAtQuantile(99)) / 1000
	r.result.InForceMaxMS = float64(r.inForceTimes.Max()) / 1000
	return nil
}
