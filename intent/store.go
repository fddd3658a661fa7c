package intent

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/store"
	"google.golang.org/protobuf/encoding/protojson"
)

var (
	// ErrLostRace is returned when another operator's change came first. The
	// message names the change; nothing was written.
	ErrLostRace = errors.New("another change came first")
	// ErrUnknownOutcome is returned when the platform did not say whether the change
	// was accepted and could not be asked again within the deadline.
	ErrUnknownOutcome = errors.New("it is unknown whether the change was accepted")
	// ErrNoChange is returned when the change would change nothing.
	ErrNoChange = errors.New("nothing to change")
)

// Kind is the platform's kind for documents; the name is the region.
const Kind = "intent"

const (
	writeAttempts = 5
	writePause    = 200 * time.Millisecond
)

// VersionedDocument is a document with the platform's version of it.
type VersionedDocument struct {
	Document *Document
	Version  store.Version
}

// Store reads and changes the document of one region on the platform.
type Store struct {
	client *store.Client
	region string
}

// NewStore returns a store for a region.
func NewStore(c *store.Client, region string) *Store {
	return &Store{
		client: c,
		region: region,
	}
}

// Read returns the accepted document; an empty one when nothing was declared.
func (s *Store) Read(ctx context.Context) (VersionedDocument, error) {
	o, err := s.client.Get(ctx, s.key())
	if errors.Is(err, store.ErrNotFound) {
		return VersionedDocument{
			Document: NewDocument(s.region),
		}, nil
	}
	if err != nil {
		return VersionedDocument{}, errors.Wrap(err, "read intent")
	}
	return decode(o)
}

// Watch waits for a document other than the held version.
func (s *Store) Watch(ctx context.Context, after store.Version, wait time.Duration) (VersionedDocument, error) {
	o, err := s.client.Watch(ctx, s.key(), after, wait)
	if err != nil {
		return VersionedDocument{}, errors.Wrap(err, "watch intent")
	}
	return decode(o)
}

// Change applies one edit as one conditional write and returns the accepted
// document. Base is what the operator saw; a change by another operator since
// then gives ErrLostRace. An answer that is lost after the write took effect
// is recognised by the operation's ID.
func (s *Store) Change(ctx context.Context, base VersionedDocument, o *controlpb.Operation, f func(*Edit) error) (VersionedDocument, error) {
	e := NewEdit(base.Document)
	if err := f(e); err != nil {
		return VersionedDocument{}, err
	}
	if e.Changed() == 0 {
		return base, ErrNoChange
	}
	next := e.Done(o)
	b, err := Encode(next)
	if err != nil {
		return VersionedDocument{}, err
	}
	for i := 0; ; i++ {
		v, err := s.client.Put(ctx, s.key(), b, base.Version)
		if err == nil {
			return VersionedDocument{
				Document: next,
				Version:  v,
			}, nil
		}
		h, done, err := s.settle(ctx, base, o.GetId(), err)
		if done {
			return h, err
		}
		if i+1 >= writeAttempts {
			return VersionedDocument{}, failure.Mark(err, ErrUnknownOutcome)
		}
		if pause(ctx, writePause) != nil {
			return VersionedDocument{}, failure.Mark(err, ErrUnknownOutcome)
		}
	}
}

// settle finds out what became of a failed write. It reports done when the
// write must not be repeated.
func (s *Store) settle(ctx context.Context, base VersionedDocument, id string, cause error) (VersionedDocument, bool, error) {
	if errors.Is(cause, store.ErrThrottled) {
		return VersionedDocument{}, false, cause
	}
	if !errors.Is(cause, store.ErrUnknownOutcome) && !errors.Is(cause, store.ErrConflict) {
		return VersionedDocument{}, true, cause
	}
	now, err := s.Read(ctx)
	if err != nil {
		return VersionedDocument{}, false, errors.CombineErrors(cause, err)
	}
	if now.Document.Operation(id) != nil {
		return now, true, nil
	}
	if now.Version != base.Version {
		return VersionedDocument{}, true, errors.Wrap(ErrLostRace, describeSince(now.Document, base.Document.Revision))
	}
	return VersionedDocument{}, false, cause
}

func (s *Store) key() store.Key {
	return store.Key{
		Kind: Kind,
		Name: s.region,
	}
}

// Encode returns the JSON form that the platform stores.
func Encode(d *Document) ([]byte, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(d.Since(0))
	return b, errors.Wrap(err, "encode intent")
}

func decode(o store.Object) (VersionedDocument, error) {
	m := &controlpb.Intent{}
	if err := protojson.Unmarshal(o.Value, m); err != nil {
		return VersionedDocument{}, errors.Wrap(err, "decode intent")
	}
	return VersionedDocument{
		Document: FromMessage(m),
		Version:  o.Version,
	}, nil
}

// describeSince lists the operations after a revision.
func describeSince(d *Document, revision uint64) string {
	var l []string
	for _, o := range d.Operations {
		if o.GetRevision() > revision {
			at := time.UnixMilli(o.GetAtMs()).UTC().Format(time.RFC3339)
			l = append(l, fmt.Sprintf("revision %d by %s at %s: %s", o.GetRevision(), o.GetAuthor(), at, o.GetSummary()))
		}
	}
	return strings.Join(l, "; ")
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-time.After(d):
		return nil
	}
}
