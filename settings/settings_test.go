package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestSettings parses the settings of a data file; every error is one line.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		_, err := Parse("shed.toml", d.Input)
		if err == nil {
			return "ok\n"
		}
		require.True(t, errors.Is(err, ErrInvalid))
		require.NotContains(t, strings.TrimSpace(err.Error()), "\n")
		return err.Error() + "\n"
	})
}

func TestReadMissingFile(t *testing.T) {
	_, err := Read("testdata/none.toml")
	require.ErrorIs(t, err, ErrInvalid)
}
