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
	// ErrLostRace is returned when another change was accepted first. The message
	// names the changes accepted since; nothing was written.
	ErrLostRace = errors.New("another change was accepted first")
	// ErrUnknownOutcome is returned when all attempts have failed or the context has
	// ended, and no read has shown this change or another one in its place. If the
	// platform throttled every attempt, nothing was written and the error is
	// store.ErrThrottled.
	ErrUnknownOutcome = errors.New("it is unknown whether the change was accepted")
	// ErrNoChange is returned when the edit made no change; see Edit.Changed.
	ErrNoChange = errors.New("nothing to change")
)

// Kind is the kind of documents on the platform. A document has the region as its
// name.
const Kind = "intent"

const (
	writeAttempts      = 5
	writeRetryInterval = 200 * time.Millisecond
)

// VersionedDocument is a document with the version of its object on the platform.
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

// Read returns the accepted document, or an empty one when nothing was declared.
func (s *Store) Read(ctx context.Context) (VersionedDocument, error) {
	o, err := s.client.Get(ctx, s.key())
	if errors.Is(err, store.ErrNotFound) {
		return VersionedDocument{
			Document: NewDocument(s.region),
		}, nil
	}
	if err != nil {
		return VersionedDocument{}, errors.Wrap(err, "read declared state")
	}
	return decode(o)
}

// Watch waits until the document has another version than after, but no longer than
// wait, and returns it, changed or not. Unlike Read, it returns store.ErrNotFound when
// nothing was declared.
func (s *Store) Watch(ctx context.Context, after store.Version, wait time.Duration) (VersionedDocument, error) {
	o, err := s.client.Watch(ctx, s.key(), after, wait)
	if err != nil {
		return VersionedDocument{}, errors.Wrap(err, "watch declared state")
	}
	return decode(o)
}

// Change applies one edit as one conditional write and returns the accepted
// document. Base is the document that the operator saw; if another change has been
// accepted since, Change returns ErrLostRace. When the response to a write that took
// effect was lost, Change finds the operation's ID in the stored document and returns
// that document, which may contain later changes too.
func (s *Store) Change(ctx context.Context, base VersionedDocument, o *controlpb.Operation, edit func(*Edit) error) (VersionedDocument, error) {
	e := NewEdit(base.Document)
	if err := edit(e); err != nil {
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
	sentinel := store.ErrThrottled
	for i := 0; ; i++ {
		v, err := s.client.Put(ctx, s.key(), b, base.Version)
		if err == nil {
			return VersionedDocument{
				Document: next,
				Version:  v,
			}, nil
		}
		resolved, done, err := s.resolveFailedWrite(ctx, base, o.GetId(), err)
		if done {
			return resolved, err
		}
		if !errors.Is(err, store.ErrThrottled) {
			sentinel = ErrUnknownOutcome
		}
		if i+1 >= writeAttempts || sleep(ctx, writeRetryInterval) != nil {
			return VersionedDocument{}, failure.Mark(err, sentinel)
		}
	}
}

// resolveFailedWrite finds out whether a failed write took effect. It reports done
// when the write must not be repeated.
func (s *Store) resolveFailedWrite(ctx context.Context, base VersionedDocument, id string, cause error) (VersionedDocument, bool, error) {
	if errors.Is(cause, store.ErrThrottled) {
		return VersionedDocument{}, false, cause
	}
	if !errors.Is(cause, store.ErrUnknownOutcome) && !errors.Is(cause, store.ErrConflict) {
		return VersionedDocument{}, true, cause
	}
	current, err := s.Read(ctx)
	if err != nil {
		return VersionedDocument{}, false, errors.CombineErrors(cause, err)
	}
	if current.Document.Operation(id) != nil {
		return current, true, nil
	}
	if current.Version != base.Version {
		return VersionedDocument{}, true, errors.Wrap(ErrLostRace, describeOperations(current.Document, base.Document.Revision))
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
	return b, errors.Wrap(err, "encode declared state")
}

func decode(o store.Object) (VersionedDocument, error) {
	m := &controlpb.Intent{}
	if err := protojson.Unmarshal(o.Value, m); err != nil {
		return VersionedDocument{}, errors.Wrap(err, "decode declared state")
	}
	return VersionedDocument{
		Document: FromMessage(m),
		Version:  o.Version,
	}, nil
}

// describeOperations describes the operations after a revision.
func describeOperations(d *Document, revision uint64) string {
	var l []string
	for _, o := range d.Operations {
		if o.GetRevision() > revision {
			at := time.UnixMilli(o.GetAtMs()).UTC().Format(time.RFC3339)
			l = append(l, fmt.Sprintf("revision %d by %s at %s: %s", o.GetRevision(), o.GetAuthor(), at, o.GetSummary()))
		}
	}
	return strings.Join(l, "; ")
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait to retry")
	case <-time.After(d):
		return nil
	}
}
