package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestCheckConfig runs the command on the files of a data file, as a script would: a wrong
// exit status lets a wrong configuration through or stops a good one.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/check_config", func(t *testing.T, x *datadriven.TestData) string {
		if x.Cmd == "file" {
			require.NoError(t, os.WriteFile(filepath.Join(dir, x.CmdArgs[0].Key), []byte(x.Input), 0o600))
			return ""
		}
		args := strings.Fields(strings.ReplaceAll(x.Input, "DIR", dir))
		var out strings.Builder
		status := run(args, strings.NewReader(""), &out, &out)
		return fmt.Sprintf("%sexit status %d\n", strings.ReplaceAll(out.String(), dir, "DIR"), status)
	})
}
