package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/freshness"
	"github.com/stretchr/testify/require"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	step       = 50 * time.Millisecond
	configAge  = 1600 * time.Millisecond
	domainsAge = 2800 * time.Millisecond
)

// fleet is some balancers that hear each other's digests.
type fleet struct {
	models []*freshness.Model
	looks  int
	// refused are balancers that the store turns away.
	refused map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		refused: map[int]bool{},
	}
	for i := range n {
		m := freshness.NewModel(freshness.Config{
			Self:       fmt.Sprintf("balancer-%d", i),
			ConfigAge:  configAge,
			DomainsAge: domainsAge,
			Watchers:   3,
			Seed:       uint64(i),
		})
		for k := range 2 {
			m.Update(start, freshness.HeldMsg{
				Kind: freshness.Kind(k),
				State: freshness.State{
					Revision: 1,
					Hash:     1,
				},
			})
		}
		f.models = append(f.models, m)
	}
	return f
}

// tick lets each balancer look when it wants to, and all hear of it.
func (f *fleet) tick(now time.Time) {
	for i, m := range f.models {
		for _, e := range m.Update(now, freshness.TickMsg{}) {
			l, ok := e.(freshness.LookEffect)
			if !ok {
				continue
			}
			f.looks++
			if f.refused[i] {
				continue
			}
			m.Update(now, freshness.ConfirmedMsg{
				Kind: l.Kind,
				At:   now,
			})
			f.tell(now, m)
		}
	}
}

func (f *fleet) tell(now time.Time, from *freshness.Model) {
	for _, m := range f.models {
		m.Update(now, from.Digest(now))
	}
}

// TestLooksStayFlat replays a calm minute: the looks of a fleet do not grow
// with it, and nobody's state is older than the limit.
func TestLooksStayFlat(t *testing.T) {
	looks := map[int]int{}
	for _, n := range []int{5, 20, 200} {
		f := newFleet(n)
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			f.tick(now)
			for _, m := range f.models {
				require.LessOrEqual(t, m.Digest(now).Ages[freshness.KindConfig], configAge+step)
			}
		}
		looks[n] = f.looks
	}
	require.LessOrEqual(t, looks[200], 2*looks[5])
}

// TestPeersConfirmForTheRefused has the store turn away most balancers.
func TestPeersConfirmForTheRefused(t *testing.T) {
	f := newFleet(6)
	for i := range 5 {
		f.refused[i] = true
	}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		f.tick(now)
		if now.After(start.Add(2 * time.Second)) {
			for _, m := range f.models {
				require.LessOrEqual(t, m.Digest(now).Ages[freshness.KindConfig], configAge+step)
			}
		}
	}
}

func TestNewerStateIsFetched(t *testing.T) {
	f := newFleet(2)
	f.models[0].Update(start, freshness.HeldMsg{
		Kind: freshness.KindConfig,
		State: freshness.State{
			Revision: 2,
			Hash:     2,
		},
	})
	effects := f.models[1].Update(start.Add(time.Second), f.models[0].Digest(start.Add(time.Second)))
	require.Contains(t, effects, freshness.FetchEffect{
		Name: "balancer-0",
	})
	require.Empty(t, f.models[0].Update(start.Add(time.Second), f.models[1].Digest(start.Add(time.Second))))
}

func TestFewWatch(t *testing.T) {
	f := newFleet(9)
	for range 2 {
		for _, m := range f.models {
			f.tell(start, m)
		}
	}
	watchers := 0
	for _, m := range f.models {
		if m.Watches() {
			watchers++
		}
	}
	require.Equal(t, 3, watchers)
}
