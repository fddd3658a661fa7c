package operator

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

// testSession is a session with its own platform stand-in and a fixed live
// state.
type testSession struct {
	session *Session
	out     *bytes.Buffer
	dir     string
}

func newTestSession(t *testing.T, o Output) *testSession {
	t.Helper()
	w := httptest.NewServer(objectstore.New(1))
	t.Cleanup(w.Close)
	s := &testSession{
		out: &bytes.Buffer{},
		dir: t.TempDir(),
	}
	s.session = New(Config{
		Client: store.New(store.Config{BaseURL: w.URL}),
		Region: "bayern",
		Author: "anna",
		Output: o,
		Out:    s.out,
		Now:    func() time.Time { return time.Unix(1_800_000_000, 0) },
		Fleet: func(context.Context) (*fleet.Snapshot, error) {
			return testFleet(), nil
		},
	})
	return s
}

func testFleet() *fleet.Snapshot {
	target := func(id, domain string, state controlpb.MemberState) *controlpb.Member {
		return &controlpb.Member{
			Target:  id,
			Service: "liedlive",
			Domain:  domain,
			State:   state,
		}
	}
	return &fleet.Snapshot{
		Registrar: "balancer-1",
		Instances: []*controlpb.Instance{
			{Name: "balancer-1", Role: "balancer", Domain: "nuernberg", IntentRevision: 99},
			{Name: "liedlive-1", Role: "agent", IntentRevision: 99, Vitals: &controlpb.Vitals{Active: 40, Limit: 100, Capacity: 100}},
			{Name: "liedlive-2", Role: "agent", IntentRevision: 0, Vitals: &controlpb.Vitals{Active: 12, Limit: 50, Capacity: 100, Cold: true}},
		},
		Members: []*controlpb.Member{
			target("liedlive-1", "nuernberg", controlpb.MemberState_MEMBER_STATE_JOINED),
			target("liedlive-2", "regensburg", controlpb.MemberState_MEMBER_STATE_JOINED),
			target("liedlive-3", "regensburg", controlpb.MemberState_MEMBER_STATE_SUSPECT),
		},
		Silent: []string{"balancer-2"},
	}
}

// TestStatements executes the statements of data files, each file in a session
// of its own. "declare" writes a file of declarations, which "plan" and "apply"
// use.
func TestStatements(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newTestSession(t, OutputText)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			if err := s.run(t, d); err != nil {
				message := strings.ReplaceAll(err.Error(), s.dir, "DIR")
				return s.out.String() + "error: " + message + "\n"
			}
			return s.out.String()
		})
	})
}

func (s *testSession) run(t *testing.T, d *datadriven.TestData) error {
	switch d.Cmd {
	case "declare":
		require.NoError(t, os.WriteFile(filepath.Join(s.dir, "a.toml"), []byte(d.Input), 0o600))
		return nil
	case "plan":
		return s.session.Plan(t.Context(), s.dir)
	case "apply":
		return s.session.Apply(t.Context(), s.dir)
	}
	for _, l := range strings.Split(d.Input, "\n") {
		if err := s.session.Do(t.Context(), l); err != nil {
			return err
		}
	}
	return nil
}

func TestJSONOutput(t *testing.T) {
	s := newTestSession(t, OutputJSON)
	require.NoError(t, s.session.Do(t.Context(), "take out domain nuernberg"))
	require.JSONEq(t, `{"accepted":"take out domain nuernberg","revision":1}`, s.out.String())
	s.out.Reset()
	require.NoError(t, s.session.Do(t.Context(), "show domains where state = out"))
	require.JSONEq(t, `[{"domain":"nuernberg","flows":"40","since":"2027-01-15 08:00:00","state":"out","targets":"1"}]`, s.out.String())
}

func TestWaitReportsProgressAtTimeout(t *testing.T) {
	s := newTestSession(t, OutputText)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.session.Wait(ctx, 5), ErrNotInForce)
	require.Equal(t, "revision 5 is in force on 2 of 4 instances\n", s.out.String())
}

// TestChangeFromFailsAfterAnotherChange changes the declared state between
// reading it and ChangeFrom, which must then fail and name the author of that
// change instead of overwriting it.
func TestChangeFromFailsAfterAnotherChange(t *testing.T) {
	s := newTestSession(t, OutputText)
	seen, err := s.session.Read(t.Context())
	require.NoError(t, err)
	require.NoError(t, s.session.Do(t.Context(), "take out domain nuernberg"))
	err = s.session.ChangeFrom(t.Context(), seen, "late", func(e *intent.Edit) error {
		e.SetDomainOutOfService("regensburg", true, time.Now())
		return nil
	})
	require.ErrorIs(t, err, intent.ErrLostRace)
	require.ErrorContains(t, err, "by anna")
}
