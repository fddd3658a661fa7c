package integration

import (
	"net"
	"net/netip"
	"os"
	"testing"
)

// bareForwarder makes the test program a forwarder that reads and writes
// datagrams and does nothing else: "listen address,next address".
const (
	bareListen = "LENTILSHED_TEST_BARE_LISTEN"
	bareNext   = "LENTILSHED_TEST_BARE_NEXT"
)

func TestMain(m *testing.M) {
	if a := os.Getenv(bareListen); a != "" {
		forwardBare(a, os.Getenv(bareNext))
		return
	}
	os.Exit(m.Run())
}

// forwardBare uses as many readers as the balancer.
func forwardBare(listen, next string) {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(listen)))
	if err != nil {
		os.Exit(1)
	}
	_ = s.SetReadBuffer(4 << 20)
	to := netip.MustParseAddrPort(next)
	work := func() {
		b := make([]byte, 9001)
		for {
			n, _, err := s.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = s.WriteToUDPAddrPort(b[:n], to)
		}
	}
	go work()
	work()
}
