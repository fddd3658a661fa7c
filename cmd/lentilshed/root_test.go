package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestExitStatus guards against a supervisor that takes a failure at run time, which may pass,
// for invalid settings, which fail again: the port of the balancer is in use.
func TestExitStatus(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := strings.NewReplacer("CONTROL", l.Addr().String()).Replace(`
[balancer]
name = "balancer-1"
region = "r"
failure_domain = "d"
packet_address = "127.0.0.1:9"
control_address = "CONTROL"
platform = "http://127.0.0.1:1"
`)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	for line, want := range map[string]int{
		"--help":                          exitOK,
		"--unknown":                       exitUsage,
		"unknown":                         exitUsage,
		"balancer":                        exitUsage,
		"demo --seconds 1":                exitUsage,
		"check-config /does/not/exist":    exitUsage,
		"check-config " + path:            exitOK,
		"balancer --config " + path:       exitFailed,
		"balancer --config /no/such/file": exitUsage,
	} {
		assert.Equal(t, want, run(strings.Fields(line), io.Discard, io.Discard), line)
	}
}
