package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

const waitPollInterval = 200 * time.Millisecond

// progress is the number of instances on which a revision is in force. Instances
// includes the balancers that did not respond.
type progress struct {
	Revision  uint64 `json:"revision"`
	InForce   int    `json:"in_force"`
	Instances int    `json:"instances"`
}

// Text formats the progress for people.
func (p progress) Text() string {
	return fmt.Sprintf("revision %d is in force on %d of %d instances\n", p.Revision, p.InForce, p.Instances)
}

// Wait waits until a revision is in force on every instance, or returns
// ErrNotInForce when the context is done. In both cases it prints the progress.
// Revision zero means the revision of the declared state.
func (s *Session) Wait(ctx context.Context, revision uint64) error {
	if revision == 0 {
		h, err := s.store.Read(ctx)
		if err != nil {
			return err
		}
		revision = h.Document.Revision
	}
	last := progress{
		Revision: revision,
	}
	for {
		f, err := s.config.Fleet(ctx)
		if err == nil {
			last.Instances = len(f.Instances) + len(f.Silent)
			last.InForce = last.Instances - f.CountBehind(revision)
		}
		if last.Instances > 0 && last.InForce == last.Instances {
			return s.print(last)
		}
		select {
		case <-ctx.Done():
			_ = s.print(last)
			return errors.Wrapf(ErrNotInForce, "revision %d", revision)
		case <-time.After(waitPollInterval):
		}
	}
}
