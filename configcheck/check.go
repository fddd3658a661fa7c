package configcheck

import (
	"strings"
	"time"
)

// Options has what the checks need beside the configuration.
type Options struct {
	// Slots is the number of requests that a backend server processes at once, and Work the
	// expected time of one. Cold rates are compared with them unless one of them is zero.
	Slots int
	Work  time.Duration
	// Nearest returns the known name that was probably meant, or "". It may be nil.
	Nearest func(name string, known []string) string
}

// Check returns what is wrong in a configuration, sorted by line.
func Check(c *Config, o Options) Findings {
	x := &checker{
		config:   c,
		options:  o,
		services: map[string]bool{},
	}
	for _, s := range c.Services {
		x.services[s.Name.Value] = true
	}
	x.required(c.Version)
	x.number(c.Version)
	if c.Version.Set && c.Version.Value == 0 {
		x.findings.Add(Error, c.Version.Place, "must be above 0")
	}
	x.checkRoutes()
	x.checkServices()
	x.checkIdleTimeout()
	x.checkUnknown()
	x.findings.Sort()
	return x.findings
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	options  Options
	services map[string]bool
	findings Findings
}

// required reports a number that is missing.
func (x *checker) required(n Number) {
	if !n.Set && !n.Place.Malformed {
		x.findings.Add(Error, n.Place, "is missing")
	}
}

// text reports a text that is missing, and returns whether it is there.
func (x *checker) text(t Text) bool {
	if t.Value == "" && !t.Place.Malformed {
		x.findings.Add(Error, t.Place, "is missing")
	}
	return t.Value != ""
}

// number reports a number that is out of its range.
func (x *checker) number(n Number) {
	switch {
	case !n.Set:
	case n.Value < 0 || (n.Whole && strings.HasPrefix(n.Literal, "-")):
		x.findings.Add(Error, n.Place, "%s is negative", n.Literal)
	case n.Whole && strings.ContainsAny(n.Literal, ".eE"):
		x.findings.Add(Error, n.Place, "%s is not written as a whole number", n.Literal)
	case n.Value > n.Max && n.Cut:
		x.findings.Add(Warning, n.Place, "%s is cut to %.0f", n.Literal, n.Max)
	case n.Value > n.Max:
		x.findings.Add(Error, n.Place, "%s is above %.0f", n.Literal, n.Max)
	}
}

// checkIdleTimeout reports an idle timeout that ends flows whose request is still awaited.
func (x *checker) checkIdleTimeout() {
	idle := x.config.IdleTimeout
	x.number(idle)
	var longest Number
	name := ""
	for _, r := range x.config.Routes {
		if r.Timeout.Value > longest.Value {
			longest = r.Timeout
			name = r.Name.Value
		}
	}
	if idle.Set && idle.Value > 0 && idle.Value < longest.Value {
		x.findings.Add(Warning, idle.Place, "%s is shorter than the timeout of route %q, %s: flows may be removed while their callers wait",
			idle.Literal, name, longest.Literal)
	}
}

// checkUnknown reports unknown keys that resemble a known one. Others may be for another
// program.
func (x *checker) checkUnknown() {
	if x.options.Nearest == nil {
		return
	}
	for _, u := range x.config.Unknown {
		if near := x.options.Nearest(u.Name, u.Known); near != "" {
			x.findings.Add(Warning, u.Place, "unknown key; did you mean %q?", near)
		}
	}
}
