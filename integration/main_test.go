package integration

import (
	"net"
	"net/netip"
	"os"
	"testing"
)

// bareListen and bareNext are environment variables that turn the test program
// into a bare forwarder: it forwards datagrams from the address in bareListen
// to the address in bareNext and does nothing else.
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

// forwardBare forwards datagrams with as many readers as the balancer has.
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
