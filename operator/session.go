// Package operator executes the operators' statements. It reads the declared
// state from the platform and the live state from the balancers. Each statement
// that changes the declared state does so in one conditional write.
package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/query"
	"github.com/lentilshed/lentilshed/store"
)

var (
	// ErrUnknownName is returned for a target, domain, service or column that
	// does not exist, and for the undrain of a target that was never drained.
	ErrUnknownName = errors.New("unknown name")
	// ErrNotInForce is returned when a wait ends before the revision is in
	// force on every instance.
	ErrNotInForce = errors.New("not in force everywhere")
)

// Output is the format in which results are printed.
type Output string

const (
	// OutputText is for people.
	OutputText Output = "text"
	// OutputJSON is one JSON value for each result, except for help, which is
	// text.
	OutputJSON Output = "json"
)

// Config configures a session.
type Config struct {
	Client *store.Client
	Region string
	Author string
	Output Output
	Out    io.Writer
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
	// Fleet replaces the query of the live state; nil queries the balancers.
	Fleet func(ctx context.Context) (*fleet.Snapshot, error)
}

// Session executes statements one after the other.
type Session struct {
	config Config
	store  *intent.Store
}

// New returns a session.
func New(c Config) *Session {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Fleet == nil {
		c.Fleet = func(ctx context.Context) (*fleet.Snapshot, error) {
			return fleet.Read(ctx, c.Client, c.Region)
		}
	}
	return &Session{
		config: c,
		store:  intent.NewStore(c.Client, c.Region),
	}
}

// Do parses and executes one statement.
func (s *Session) Do(ctx context.Context, line string) error {
	q, err := query.Parse(line)
	if err != nil {
		return err
	}
	switch {
	case q.Show != nil:
		return s.show(ctx, q.Show)
	case q.Drain != nil:
		return s.drain(ctx, q.Drain)
	case q.Undrain != nil:
		return s.undrain(ctx, q.Undrain.Name)
	case q.TakeOut != nil:
		return s.setDomainOutOfService(ctx, q.TakeOut.Name, true)
	case q.BringBack != nil:
		return s.setDomainOutOfService(ctx, q.BringBack.Name, false)
	case q.Set != nil:
		return s.set(ctx, q.Set)
	}
	return s.help()
}

// Change reads the declared state, changes it with f and prints the revision of
// the accepted change.
func (s *Session) Change(ctx context.Context, summary string, f func(base intent.VersionedDocument, e *intent.Edit) error) error {
	base, err := s.store.Read(ctx)
	if err != nil {
		return err
	}
	return s.ChangeFrom(ctx, base, summary, func(e *intent.Edit) error { return f(base, e) })
}

// ChangeFrom makes a change based on the state that the operator has seen, or
// returns intent.ErrLostRace if that has changed since. It also sends the accepted
// change to the registrar, because the platform may become unavailable before any
// instance has received the change from it. If sending fails, the instances
// receive the change from the platform.
func (s *Session) ChangeFrom(ctx context.Context, seen intent.VersionedDocument, summary string, f func(*intent.Edit) error) error {
	address, _ := fleet.FindRegistrar(ctx, s.config.Client, s.config.Region)
	h, err := s.store.Change(ctx, seen, &controlpb.Operation{
		Id:      rand.Text(),
		Author:  s.config.Author,
		AtMs:    s.config.Now().UnixMilli(),
		Summary: summary,
	}, f)
	if err != nil {
		return err
	}
	_ = fleet.SendIntent(ctx, address, h.Document.Since(seen.Document.Revision))
	return s.print(accepted{
		Accepted: summary,
		Revision: h.Document.Revision,
	})
}

// Read returns the declared state.
func (s *Session) Read(ctx context.Context) (intent.VersionedDocument, error) {
	return s.store.Read(ctx)
}

// accepted is the result of a change.
type accepted struct {
	Accepted string `json:"accepted"`
	Revision uint64 `json:"revision"`
}

// Text formats the result for people.
func (a accepted) Text() string {
	return fmt.Sprintf("accepted as revision %d: %s\n", a.Revision, a.Accepted)
}
