package usersbackend_test

import (
	"net/netip"
	"testing"

	"github.com/lentilshed/lentilshed/standin/usersbackend"
	"github.com/stretchr/testify/require"
)

// TestCloseReleasesTheAddress starts servers at one address in turn. One that is closed before
// it has begun to accept connections must not keep the address from the next one.
func TestCloseReleasesTheAddress(t *testing.T) {
	for range 200 {
		s, err := usersbackend.New(usersbackend.Config{
			Address:      netip.MustParseAddrPort("127.0.7.31:28165"),
			Outbound:     netip.MustParseAddrPort("127.0.7.31:28162"),
			HeartbeatURL: "http://127.0.7.31:28167",
		})
		require.NoError(t, err)
		s.Close()
	}
}
