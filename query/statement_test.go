package query

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestStatements parses the statements of a data file, one for each case.
func TestStatements(t *testing.T) {
	datadriven.RunTest(t, "testdata/statements", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse(d.Input)
		if err != nil {
			require.True(t, errors.Is(err, ErrSyntax))
			return err.Error() + "\n"
		}
		b, err := json.Marshal(s)
		require.NoError(t, err)
		return string(b) + "\n"
	})
}

func TestDrainTimeoutRejectsInvalidDurations(t *testing.T) {
	for _, bad := range []string{"soon", "-5m", "0s"} {
		_, err := (&Drain{Deadline: bad}).Timeout()
		require.ErrorIs(t, err, ErrSyntax, bad)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("show targets of liedlive where state = draining")
	f.Fuzz(func(t *testing.T, line string) {
		if s, err := Parse(line); err == nil && s == nil {
			t.Fatal("neither statement nor error")
		}
	})
}
