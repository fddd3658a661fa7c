// Package fleet queries the running balancers of a region for the state of its
// instances, on behalf of operators.
package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/store"
)

// ErrNoRegistrar is returned when the registrar has no known address, is
// unreachable, or does not confirm a change.
var ErrNoRegistrar = errors.New("no confirmation from the registrar")

const statusTimeout = 2 * time.Second

// Snapshot is the state of a region as its balancers reported it. Revision and
// Members are those that the registrar has.
type Snapshot struct {
	Registrar string
	Revision  uint64
	Instances []*controlpb.Instance
	Members   []*controlpb.Member
	// Silent lists the balancers in the roster that did not respond.
	Silent []string
}

// CountBehind counts the instances below a revision, and the balancers that did
// not respond.
func (s *Snapshot) CountBehind(revision uint64) int {
	n := len(s.Silent)
	for _, i := range s.Instances {
		if i.GetIntentRevision() < revision {
			n++
		}
	}
	return n
}

// Instance returns the instance with a name, or nil.
func (s *Snapshot) Instance(name string) *controlpb.Instance {
	for _, i := range s.Instances {
		if i.GetName() == name {
			return i
		}
	}
	return nil
}

// FindRegistrar reads the control address of the registrar from its lease, which may
// have expired.
func FindRegistrar(ctx context.Context, c *store.Client, region string) (string, error) {
	o, err := c.Get(ctx, store.Key{
		Kind: balancer.LeaseKind,
		Name: region,
	})
	if err != nil {
		return "", errors.Wrap(err, "read the registrar's lease")
	}
	var r lease.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return "", errors.Wrap(err, "decode the registrar's lease")
	}
	return r.Address, nil
}

// SendIntent sends an accepted change to the balancer at an address, and returns
// ErrNoRegistrar unless its next status shows that the change is in force there. That
// balancer distributes the change, even if the platform became unavailable before any
// instance received it.
func SendIntent(ctx context.Context, address string, change *controlpb.Intent) error {
	if address == "" {
		return ErrNoRegistrar
	}
	s, err := requestStatus(ctx, address, &controlpb.Envelope{
		Body: &controlpb.Envelope_Intent{
			Intent: change,
		},
	})
	if err != nil {
		return failure.Mark(err, ErrNoRegistrar)
	}
	if s.GetIntentRevision() < change.GetRevision() {
		return errors.Wrapf(ErrNoRegistrar, "%s still has an older revision", address)
	}
	return nil
}

// Read finds the registrar by its lease and requests the status of every balancer
// in its roster. It fails if the registrar does not respond; others that do not are
// listed in Silent.
func Read(ctx context.Context, c *store.Client, region string) (*Snapshot, error) {
	address, err := FindRegistrar(ctx, c, region)
	if err != nil {
		return nil, err
	}
	first, err := requestStatus(ctx, address, nil)
	if err != nil {
		return nil, failure.Mark(errors.Wrapf(err, "request status from the registrar at %s", address), ErrNoRegistrar)
	}
	s := &Snapshot{
		Registrar: first.GetRegistrar(),
		Revision:  first.GetIntentRevision(),
		Members:   first.GetMembers(),
	}
	s.add(first)
	s.addOthers(ctx, address)
	slices.SortFunc(s.Instances, func(a, b *controlpb.Instance) int { return strings.Compare(a.GetName(), b.GetName()) })
	return s, nil
}

func (s *Snapshot) addOthers(ctx context.Context, registrar string) {
	for _, m := range s.Members {
		gone := m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE
		if m.GetService() != roster.InstanceService || gone || m.GetControlAddress() == registrar {
			continue
		}
		status, err := requestStatus(ctx, m.GetControlAddress(), nil)
		if err != nil {
			s.Silent = append(s.Silent, m.GetTarget())
			continue
		}
		s.add(status)
	}
}

// add merges the instances that one balancer reports. Two balancers may report an
// agent that has just changed its balancer; the entry with the higher revision is
// kept.
func (s *Snapshot) add(status *controlpb.Status) {
	for _, i := range status.GetInstances() {
		n := slices.IndexFunc(s.Instances, func(o *controlpb.Instance) bool { return o.GetName() == i.GetName() })
		switch {
		case n < 0:
			s.Instances = append(s.Instances, i)
		case s.Instances[n].GetIntentRevision() < i.GetIntentRevision():
			s.Instances[n] = i
		}
	}
}

// requestStatus sends one status request and returns the reply. If preceding is not
// nil, it is sent first.
func requestStatus(ctx context.Context, address string, preceding *controlpb.Envelope) (*controlpb.Status, error) {
	reply := make(chan *controlpb.Status, 1)
	d := control.NewDialer(control.Handler{
		Hello: func() *controlpb.Hello {
			return &controlpb.Hello{
				Name: "lentilctl",
				Role: "operator",
			}
		},
		Open: func(c *control.Conn) {
			if preceding != nil {
				c.Send(preceding)
			}
			c.Send(&controlpb.Envelope{
				Body: &controlpb.Envelope_StatusRequest{
					StatusRequest: &controlpb.StatusRequest{},
				},
			})
		},
		Message: func(_ *control.Conn, e *controlpb.Envelope) {
			if s := e.GetStatus(); s != nil {
				select {
				case reply <- s:
				default:
				}
			}
		},
		Close: func(*control.Conn) {},
	})
	defer d.Close()
	d.SetAddresses([]string{address})
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "no status reply")
	}
}
