// Package fleet asks running balancers what is in force, on behalf of
// operators.
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

// ErrNoRegistrar is returned when no balancer could be asked.
var ErrNoRegistrar = errors.New("no balancer answers")

const askTimeout = 2 * time.Second

// Snapshot is what the balancers of a region say.
type Snapshot struct {
	Registrar string
	Revision  uint64
	Instances []*controlpb.Instance
	Members   []*controlpb.Member
	// Silent lists balancers in the roster that did not answer.
	Silent []string
}

// CountBehind counts the instances below a revision, and those that did not answer.
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

// FindRegistrar returns the control address of the registrar, from its lease.
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
		return "", errors.Wrap(err, "read the registrar's lease")
	}
	return r.Address, nil
}

// SendIntent passes an accepted change to the balancer at an address and waits until
// it is in force there. The balancer spreads it, also when the platform went down
// before any instance had heard of the change.
func SendIntent(ctx context.Context, address string, x *controlpb.Intent) error {
	if address == "" {
		return ErrNoRegistrar
	}
	s, err := ask(ctx, address, &controlpb.Envelope{
		Body: &controlpb.Envelope_Intent{
			Intent: x,
		},
	})
	if err != nil {
		return failure.Mark(err, ErrNoRegistrar)
	}
	if s.GetIntentRevision() < x.GetRevision() {
		return errors.Wrapf(ErrNoRegistrar, "%s is behind", address)
	}
	return nil
}

// Read finds the registrar by its lease and asks every balancer of the region.
func Read(ctx context.Context, c *store.Client, region string) (*Snapshot, error) {
	address, err := FindRegistrar(ctx, c, region)
	if err != nil {
		return nil, err
	}
	first, err := ask(ctx, address, nil)
	if err != nil {
		return nil, failure.Mark(errors.Wrapf(err, "ask the registrar at %s", address), ErrNoRegistrar)
	}
	s := &Snapshot{
		Registrar: first.GetRegistrar(),
		Revision:  first.GetIntentRevision(),
		Members:   first.GetMembers(),
	}
	s.add(first)
	s.askOthers(ctx, address)
	slices.SortFunc(s.Instances, func(a, b *controlpb.Instance) int { return strings.Compare(a.GetName(), b.GetName()) })
	return s, nil
}

func (s *Snapshot) askOthers(ctx context.Context, asked string) {
	for _, m := range s.Members {
		gone := m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE
		if m.GetService() != roster.InstanceService || gone || m.GetControlAddress() == asked {
			continue
		}
		x, err := ask(ctx, m.GetControlAddress(), nil)
		if err != nil {
			s.Silent = append(s.Silent, m.GetTarget())
			continue
		}
		s.add(x)
	}
}

// add takes the instances of one balancer. An agent that has just moved may be
// known to two; the one that heard more counts.
func (s *Snapshot) add(x *controlpb.Status) {
	for _, i := range x.GetInstances() {
		n := slices.IndexFunc(s.Instances, func(o *controlpb.Instance) bool { return o.GetName() == i.GetName() })
		switch {
		case n < 0:
			s.Instances = append(s.Instances, i)
		case s.Instances[n].GetIntentRevision() < i.GetIntentRevision():
			s.Instances[n] = i
		}
	}
}

// ask sends one status request, after another message if there is one.
func ask(ctx context.Context, address string, before *controlpb.Envelope) (*controlpb.Status, error) {
	answer := make(chan *controlpb.Status, 1)
	d := control.NewDialer(control.Handler{
		Hello: func() *controlpb.Hello {
			return &controlpb.Hello{
				Name: "lentilctl",
				Role: "operator",
			}
		},
		Open: func(c *control.Conn) {
			if before != nil {
				c.Send(before)
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
				case answer <- s:
				default:
				}
			}
		},
		Close: func(*control.Conn) {},
	})
	defer d.Close()
	d.SetAddresses([]string{address})
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "no answer")
	}
}
