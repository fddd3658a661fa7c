package intent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

func newTestStore(t *testing.T) (*Store, *objectstore.Server) {
	t.Helper()
	s := objectstore.New(1)
	w := httptest.NewServer(s)
	t.Cleanup(w.Close)
	c := store.New(store.Config{
		BaseURL: w.URL,
		Timeout: 2 * time.Second,
	})
	return NewStore(c, "bayern"), s
}

func operation(id string) *controlpb.Operation {
	return &controlpb.Operation{
		Id:      id,
		Author:  "anna",
		Summary: "take out " + id,
	}
}

func setOutOfService(name string) func(*Edit) error {
	return func(e *Edit) error {
		e.SetDomainOutOfService(name, true, time.Unix(1_800_000_000, 0))
		return nil
	}
}

func TestLostRaceNamesTheOtherChange(t *testing.T) {
	s, _ := newTestStore(t)
	seen, err := s.Read(t.Context())
	require.NoError(t, err)
	_, err = s.Change(t.Context(), seen, operation("nuernberg"), setOutOfService("nuernberg"))
	require.NoError(t, err)
	_, err = s.Change(t.Context(), seen, operation("regensburg"), setOutOfService("regensburg"))
	require.ErrorIs(t, err, ErrLostRace)
	require.ErrorContains(t, err, "anna")
	require.ErrorContains(t, err, "take out nuernberg")
	current, err := s.Read(t.Context())
	require.NoError(t, err)
	require.True(t, current.Document.OutOfService("nuernberg"))
	require.False(t, current.Document.OutOfService("regensburg"))
}

// TestLostResponseIsRecognised loses the response to every write. Each change is still
// accepted exactly once.
func TestLostResponseIsRecognised(t *testing.T) {
	s, p := newTestStore(t)
	p.SetFaults(objectstore.Faults{
		LostResponses: 1,
	})
	for i := range 5 {
		seen, err := s.Read(t.Context())
		require.NoError(t, err)
		id := fmt.Sprint("d", i)
		accepted, err := s.Change(t.Context(), seen, operation(id), setOutOfService(id))
		require.NoError(t, err)
		require.Equal(t, uint64(i+1), accepted.Document.Revision)
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	s, p := newTestStore(t)
	seen, err := s.Read(t.Context())
	require.NoError(t, err)
	p.SetFaults(objectstore.Faults{
		Down: true,
	})
	_, err = s.Change(t.Context(), seen, operation("d"), setOutOfService("d"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
}

// TestRacingOperators lets operators change the document concurrently, with lost
// responses and throttled calls. Every accepted change must take effect exactly once,
// at a revision of its own.
func TestRacingOperators(t *testing.T) {
	const operators = 8
	const each = 40
	s, p := newTestStore(t)
	p.SetFaults(objectstore.Faults{
		LostResponses: 0.2,
		Throttled:     0.05,
	})
	var mu sync.Mutex
	accepted := map[string]uint64{}
	var w sync.WaitGroup
	for o := range operators {
		w.Add(1)
		go func() {
			defer w.Done()
			random := rand.New(rand.NewPCG(uint64(o), 8))
			for i := range each {
				id := fmt.Sprintf("%d-%d", o, i)
				r, ok := changeOnce(t.Context(), s, id, fmt.Sprint("d", random.IntN(4)))
				if ok {
					mu.Lock()
					accepted[id] = r
					mu.Unlock()
				}
			}
		}()
	}
	w.Wait()
	p.SetFaults(objectstore.Faults{})
	final, err := s.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(len(accepted)), final.Document.Revision, "revisions count accepted changes")
	seen := map[uint64]bool{}
	for id, r := range accepted {
		require.False(t, seen[r], "two changes at revision %d", r)
		seen[r] = true
		if o := final.Document.Operation(id); o != nil {
			require.Equal(t, r, o.GetRevision())
		}
	}
}

// changeOnce repeats a change until it is accepted or another change came first.
func changeOnce(ctx context.Context, s *Store, id, domain string) (uint64, bool) {
	for {
		seen, err := s.Read(ctx)
		if err != nil {
			continue
		}
		accepted, err := s.Change(ctx, seen, operation(id), setOutOfService(domain))
		if err == nil {
			return accepted.Document.Operation(id).GetRevision(), true
		}
		if errors.Is(err, ErrLostRace) {
			return 0, false
		}
	}
}

func TestOlderDeltaIsIgnored(t *testing.T) {
	d := NewDocument("bayern")
	e := NewEdit(d)
	e.SetDomainOutOfService("a", true, time.Now())
	one := e.Done(operation("1"))
	e = NewEdit(one)
	e.SetDomainOutOfService("a", false, time.Now())
	two := e.Done(operation("2"))

	f := NewDocument("bayern")
	changed, err := f.Merge(two.Since(0))
	require.NoError(t, err)
	require.True(t, changed)
	changed, err = f.Merge(one.Since(0))
	require.NoError(t, err)
	require.False(t, changed)
	require.False(t, f.OutOfService("a"))
	_, err = NewDocument("bayern").Merge(two.Since(1))
	require.ErrorIs(t, err, ErrGap)
}

// TestThrottledChangeIsNotAccepted guards against the report that the outcome of a
// change is unknown although the platform refused every attempt before it wrote anything.
func TestThrottledChangeIsNotAccepted(t *testing.T) {
	s, p := newTestStore(t)
	seen, err := s.Read(t.Context())
	require.NoError(t, err)
	p.SetFaults(objectstore.Faults{
		Throttled: 1,
	})
	_, err = s.Change(t.Context(), seen, operation("d"), setOutOfService("d"))
	require.ErrorIs(t, err, store.ErrThrottled)
	require.NotErrorIs(t, err, ErrUnknownOutcome)
	ctx, cancel := context.WithTimeout(t.Context(), writeRetryInterval/2)
	defer cancel()
	_, err = s.Change(ctx, seen, operation("d"), setOutOfService("d"))
	require.NotErrorIs(t, err, ErrUnknownOutcome, "the context ended while the change waited")
}

// TestThrottlingKeepsAnUnknownOutcome guards against a change that is reported as refused
// although an earlier attempt got no response: here the first attempt is lost, and the platform
// throttles all calls after it.
func TestThrottlingKeepsAnUnknownOutcome(t *testing.T) {
	calls := 0
	w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer w.Close()
	s := NewStore(store.New(store.Config{
		BaseURL: w.URL,
	}), "bayern")
	seen := VersionedDocument{
		Document: NewDocument("bayern"),
	}
	_, err := s.Change(t.Context(), seen, operation("d"), setOutOfService("d"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
}
