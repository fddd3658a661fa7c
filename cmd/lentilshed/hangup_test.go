package main

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHangupIsIgnoredAtStart guards against processes that end because SIGHUP, for changed
// settings, arrives while they start: no part of the program has installed a handler in this
// test, so signal 1 is ignored by the constructor only.
func TestHangupIsIgnoredAtStart(t *testing.T) {
	b, err := os.ReadFile("/proc/self/status")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(b), "SigIgn:\t")
	require.True(t, ok)
	ignored, err := strconv.ParseUint(strings.Fields(rest)[0], 16, 64)
	require.NoError(t, err)
	require.NotZero(t, ignored&1)
}
