package configcheck

import (
	"net/netip"
	"strconv"
)

// checkRoutes reports routes that balancers leave out, and such as never match.
func (x *checker) checkRoutes() {
	names := map[string]Place{}
	addresses := map[netip.AddrPort]Place{}
	for _, r := range x.config.Routes {
		if x.text(r.Name) {
			x.unique(names, r.Name, "name")
		}
		if a, ok := x.address(r); ok {
			if first, ok := addresses[a]; ok {
				x.findings.Add(Warning, r.Place, "takes the address %s of %s (line %d), which never matches", a, first.Key, first.Line)
			}
			addresses[a] = r.Place
		}
		x.checkDestination(r)
		x.checkClass(r)
	}
	if len(x.config.Routes) == 0 {
		x.findings.Add(Warning, Place{
			Line: 1,
			Key:  "routes",
		}, "there are none, so that all flows are refused")
	}
}

// unique reports a name that was used before.
func (x *checker) unique(names map[string]Place, t Text, what string) {
	if first, ok := names[t.Value]; ok {
		x.findings.Add(Error, t.Place, "%s %q is used by %s (line %d) already", what, t.Value, first.Key, first.Line)
		return
	}
	names[t.Value] = t.Place
}

// address returns the address and port of a route if both are valid.
func (x *checker) address(r Route) (netip.AddrPort, bool) {
	host, hostOK := netip.Addr{}, false
	if x.text(r.Host) {
		a, err := netip.ParseAddr(r.Host.Value)
		host, hostOK = a, err == nil && a.Is4()
		if !hostOK {
			x.findings.Add(Error, r.Host.Place, "%q is not an IPv4 address", r.Host.Value)
		}
	}
	port, portOK := uint64(0), false
	if x.text(r.Port) {
		p, err := strconv.ParseUint(r.Port.Value, 10, 16)
		port, portOK = p, err == nil && p != 0
		if !portOK {
			x.findings.Add(Error, r.Port.Place, "%q is not a port from 1 to 65535", r.Port.Value)
		}
	}
	return netip.AddrPortFrom(host, uint16(port)), hostOK && portOK
}

// checkDestination reports services that do not exist, and weights without effect.
func (x *checker) checkDestination(r Route) {
	switch {
	case r.Service.Value != "":
		x.known(r.Service)
		if len(r.Shares) > 0 {
			x.findings.Add(Warning, r.Split, "is ignored, because %s is set", r.Service.Place.Key)
		}
	case len(r.Shares) == 0 && !r.Service.Place.Malformed && !r.Split.Malformed:
		x.findings.Add(Error, r.Place, "names no service")
	}
	total, complete := 0.0, true
	names := map[string]Place{}
	for _, s := range r.Shares {
		if x.text(s.Service) {
			x.known(s.Service)
			x.unique(names, s.Service, "service")
		}
		x.required(s.Weight)
		x.number(s.Weight)
		total += s.Weight.Value
		complete = complete && s.Weight.Set
		if w := s.Weight.Value; w > 0 && w < minWeight {
			x.findings.Add(Warning, s.Weight.Place, "%s counts as 0", s.Weight.Literal)
			total -= w
		}
	}
	if len(r.Shares) > 0 && complete && total <= 0 && r.Service.Value == "" {
		x.findings.Add(Warning, r.Split, "all weights are 0, so that all new flows are refused")
	}
}

// minWeight is the lowest weight that is not rounded to 0.
const minWeight = 0.001

// known reports the name of a service that is not declared.
func (x *checker) known(t Text) {
	if !x.services[t.Value] {
		x.findings.Add(Error, t.Place, "service %q is not declared", t.Value)
	}
}

// checkClass reports an objective that the caller does not wait for.
func (x *checker) checkClass(r Route) {
	x.number(r.Priority)
	x.number(r.Objective)
	x.number(r.Timeout)
	if r.Timeout.Value > 0 && r.Objective.Value > r.Timeout.Value {
		x.findings.Add(Warning, r.Objective.Place, "%s is beyond the timeout of the route, %s", r.Objective.Literal, r.Timeout.Literal)
	}
}
