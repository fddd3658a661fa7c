package flow_test

import (
	"fmt"
	"net/netip"

	"github.com/lentilshed/lentilshed/flow"
)

func ExampleNewKey() {
	k := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40112"))
	fmt.Println(k, k.Bucket(1, 256) < 256)
	// Output: 100.64.0.7:40112 true
}

func ExampleNewKey_ipv6() {
	k := flow.NewKey(netip.MustParseAddrPort("[2001:db8::1]:40112"))
	fmt.Println(k == flow.Key{})
	// Output: true
}
