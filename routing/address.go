package routing

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/flow"
)

// ErrNotIPv4 is returned for an address that is not IPv4, the only version that callers
// can connect to.
var ErrNotIPv4 = errors.New("not an IPv4 address")

// Address is the IPv4 address and port that callers connect to.
type Address struct {
	Host uint32
	Port uint16
}

// AddressOf returns the address that the caller of a flow connected to.
func AddressOf(t flow.Tuple) Address {
	return Address{
		Host: t.Address,
		Port: t.AddressPort,
	}
}

// MarshalText formats the address as "198.18.0.1:443".
func (a Address) MarshalText() ([]byte, error) {
	b, err := flow.AddrPort(a.Host, a.Port).MarshalText()
	return b, errors.Wrap(err, "format address")
}

// UnmarshalText parses an address in the format of MarshalText.
func (a *Address) UnmarshalText(b []byte) error {
	p, err := netip.ParseAddrPort(string(b))
	if err != nil {
		return errors.Wrap(err, "parse address")
	}
	h, ok := flow.Address(p.Addr())
	if !ok {
		return ErrNotIPv4
	}
	a.Host = h
	a.Port = p.Port()
	return nil
}
