package main

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestExitStatus guards against scripts that cannot distinguish a wrong command line, which fails
// again, from a platform that does not answer. Nothing listens at the platform's address.
func TestExitStatus(t *testing.T) {
	const reachable = "--platform=http://127.0.0.1:1 --region=r "
	for line, want := range map[string]int{
		"--help":                          exitOK,
		"--unknown":                       exitUsage,
		"plan":                            exitUsage,
		"wait 1 2":                        exitUsage,
		reachable + "wait many":           exitUsage,
		reachable + "-o xml show changes": exitUsage,
		"--region=r show changes":         exitUsage,
		reachable + "shwo changes":        exitUsage,
		reachable + "show changes":        exitFailed,
	} {
		assert.Equal(t, want, run(strings.Fields(line), strings.NewReader(""), io.Discard, io.Discard), line)
	}
}
