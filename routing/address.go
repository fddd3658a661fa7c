package routing

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/flow"
)

// ErrNotIPv4 is returned for an address that callers cannot connect to.
var ErrNotIPv4 = errors.New("not an IPv4 address")

// Address is what callers connect to.
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

// UnmarshalText reads an address in the form of MarshalText.
func (a *Address) UnmarshalText(b []byte) error {
	p, err := netip.ParseAddrPort(string(b))
	if err != nil {
		return errors.Wrap(err, "address")
	}
	h, ok := flow.Address(p.Addr())
	if !ok {
		return ErrNotIPv4
	}
	a.Host = h
	a.Port = p.Port()
	return nil
}
