package configcheck_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/configcheck"
	"github.com/lentilshed/lentilshed/platform"
	"github.com/lentilshed/lentilshed/query"
	"github.com/stretchr/testify/require"
)

// TestScripts checks and compares the configurations of the data files. A check prints the
// findings, and a diff compares with the configuration of the latest check.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var old *configcheck.Config
		datadriven.RunTest(t, path, func(t *testing.T, x *datadriven.TestData) string {
			c, findings := platform.ParseConfig([]byte(x.Input))
			if x.Cmd == "diff" {
				lines := append([]string{}, configcheck.Diff(old, c)...)
				for _, f := range configcheck.CheckVersion(old, c) {
					lines = append(lines, f.String())
				}
				return strings.Join(lines, "\n") + "\n"
			}
			old = c
			findings = append(findings, check(t, c, x)...)
			findings.Sort()
			requireAgreement(t, x.Input, findings)
			var b strings.Builder
			for _, f := range findings {
				b.WriteString(f.String() + "\n")
			}
			return b.String()
		})
	})
}

func check(t *testing.T, c *configcheck.Config, x *datadriven.TestData) configcheck.Findings {
	o := configcheck.Options{
		Nearest: query.Nearest,
	}
	if x.HasArg("slots") {
		var work string
		x.ScanArgs(t, "slots", &o.Slots)
		x.ScanArgs(t, "work", &work)
		d, err := time.ParseDuration(work)
		require.NoError(t, err)
		o.Work = d
	}
	if c == nil {
		return nil
	}
	return configcheck.Check(c, o)
}

// requireAgreement fails if a configuration has no error by the findings although a balancer
// would refuse it or leave out a part of it.
func requireAgreement(t *testing.T, text string, l configcheck.Findings) {
	lines := 1 + strings.Count(text, "\n")
	for _, f := range l {
		require.True(t, f.Place.Line >= 1 && f.Place.Line <= lines, "%s", f)
	}
	if l.Count(configcheck.Error) > 0 {
		return
	}
	_, malformed, err := platform.DecodeConfig([]byte(text))
	require.NoError(t, err)
	require.Empty(t, malformed)
}

// FuzzParseConfig guards against a panic on, and a wrong approval of, any text.
func FuzzParseConfig(f *testing.F) {
	paths, err := filepath.Glob("testdata/scripts/*")
	require.NoError(f, err)
	for _, p := range paths {
		b, err := os.ReadFile(p)
		require.NoError(f, err)
		for _, text := range strings.Split(string(b), "\n\n") {
			_, text, _ = strings.Cut(text, "\n")
			text, _, _ = strings.Cut(text, "\n----")
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, findings := platform.ParseConfig([]byte(text))
		if c != nil {
			findings = append(findings, configcheck.Check(c, configcheck.Options{})...)
			require.Empty(t, configcheck.Diff(c, c))
		}
		requireAgreement(t, text, findings)
	})
}
