package configcheck

import "strings"

// checkServices reports services that balancers leave out or never use, and cold rates that no
// backend server of them can reach.
func (x *checker) checkServices() {
	named := x.namedServices()
	names := map[string]Place{}
	for _, s := range x.config.Services {
		if x.text(s.Name) {
			x.unique(names, s.Name, "name")
			if !named[s.Name.Value] {
				x.findings.Add(Warning, s.Place, "no route names service %q", s.Name.Value)
			}
		}
		if p := s.HealthPath.Value; p != "" && !strings.HasPrefix(p, "/") {
			x.findings.Add(Error, s.HealthPath.Place, "%q does not begin with a slash", p)
		}
		x.number(s.MaxFlows)
		x.number(s.ColdRate)
		x.number(s.WarmUp)
		x.checkColdRate(s)
	}
}

// namedServices returns the services that routes use: a split beside a service is ignored.
func (x *checker) namedServices() map[string]bool {
	named := map[string]bool{}
	for _, r := range x.config.Routes {
		if r.Service.Value != "" {
			named[r.Service.Value] = true
			continue
		}
		for _, s := range r.Shares {
			named[s.Service.Value] = true
		}
	}
	return named
}

// checkColdRate reports a cold rate that is above what a warm backend server can do.
func (x *checker) checkColdRate(s Service) {
	if x.options.Slots <= 0 || x.options.Work <= 0 {
		return
	}
	warm := float64(x.options.Slots) / x.options.Work.Seconds()
	if s.ColdRate.Value > warm {
		x.findings.Add(Warning, s.ColdRate.Place, "%s a second is more than a warm backend server can do, %.4g (%d slots, %s a request)",
			s.ColdRate.Literal, warm, x.options.Slots, x.options.Work)
	}
}
