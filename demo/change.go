package demo

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
)

func serviceMessage(s Service, o Options) *controlpb.Service {
	return &controlpb.Service{
		Name:      s.Name,
		Address:   s.Address,
		ColdShare: coldShare,
		WarmupMs:  uint32(warmup.Milliseconds()),
		FlowLimit: uint32(o.MaxCapacity),
	}
}

// change makes one change of a region's declared state and returns the time of
// its acceptance. Once an agent has joined, it measures in the background the time
// until the change is in force on all running instances of the region, up to
// settleTimeout.
func (r *Run) change(g *region, summary string, f func(*intent.Edit) error) (time.Time, error) {
	s := intent.NewStore(r.client, g.deployment.Region)
	h, err := r.write(s, summary, f)
	if err != nil {
		return time.Time{}, errors.Wrap(err, summary)
	}
	at := time.Now()
	r.mu.Lock()
	r.report.ChangesAccepted++
	r.mu.Unlock()
	if len(g.agents) > 0 && g.countJoined() > 0 {
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			r.awaitInForce(g, h.Document.Revision, at)
		}()
	}
	return at, nil
}

// write retries a change until it is accepted or changeTimeout has passed. A
// change fails if it loses a race with another change or if the platform is
// unavailable.
func (r *Run) write(s *intent.Store, summary string, f func(*intent.Edit) error) (intent.VersionedDocument, error) {
	o := &controlpb.Operation{
		Id:      fmt.Sprintf("%s/%d", summary, time.Now().UnixNano()),
		Author:  "demo",
		AtMs:    time.Now().UnixMilli(),
		Summary: summary,
	}
	deadline := time.Now().Add(changeTimeout)
	for {
		h, err := s.Read(r.ctx)
		if err == nil {
			h, err = s.Change(r.ctx, h, o, f)
		}
		if err == nil || time.Now().After(deadline) {
			return h, err
		}
		time.Sleep(sampleInterval)
	}
}

func (r *Run) awaitInForce(g *region, revision uint64, at time.Time) {
	deadline := time.Now().Add(settleTimeout)
	for g.countBehind(revision) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.inForceTimes.RecordValue(time.Since(at).Microseconds())
}
