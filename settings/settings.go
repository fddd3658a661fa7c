// Package settings reads the TOML settings of a process and checks them before
// anything starts.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
)

// ErrInvalid is returned for settings that cannot be used. The message is one
// line with the file, the key and the reason.
var ErrInvalid = errors.New("invalid settings")

// File is the settings of one process. Balancer and Agent are for flows that the
// agents terminate; Passthrough is for either role where the backend servers
// terminate the flows themselves.
type File struct {
	Balancer    *Balancer    `toml:"balancer"`
	Agent       *Agent       `toml:"agent"`
	Passthrough *Passthrough `toml:"passing"`
	Log         Log          `toml:"log"`
	Trace       Trace        `toml:"trace"`
}

// Log is the settings of logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Trace is the settings of tracing.
type Trace struct {
	// OneIn n samples one flow in n; zero turns tracing off.
	OneIn uint64 `toml:"one_in"`
	// File is the path to which spans are appended as JSON lines; empty or "-" is
	// the output of the log.
	File string `toml:"file"`
}

// Instance is the settings that Balancer and Agent have in common.
type Instance struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	// Domain is the failure domain that the instance runs in.
	Domain         string `toml:"failure_domain"`
	PacketAddress  string `toml:"packet_address"`
	ControlAddress string `toml:"control_address"`
	// AdminAddress is where metrics and health are served; empty for nowhere.
	AdminAddress string `toml:"admin_address"`
	// Balancers are control addresses of the balancers to contact first.
	Balancers []string `toml:"balancers"`
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Instance
	// Platform is the base URL of the object API.
	Platform string `toml:"platform"`
}

// Agent is the settings of an agent.
type Agent struct {
	Instance
	Service string `toml:"service"`
	// FabricAddress is where packets to callers are sent.
	FabricAddress string `toml:"fabric_address"`
	// BackendServer is the TCP address of the backend server.
	BackendServer string `toml:"backend_server"`
	// LoadURL is the URL of the backend server's load report; empty for none.
	LoadURL string `toml:"load_url"`
	// FlowLimit is the maximum number of open flows at the backend server.
	FlowLimit int `toml:"flow_limit"`
	// StopTimeout bounds how long a graceful shutdown waits for flows; zero means the
	// default.
	StopTimeout Duration `toml:"stop_timeout"`
}

// Duration is a time span in the format of time.ParseDuration, such as "30s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("not a duration: %q", b)
	}
	*d = Duration(x)
	return nil
}

const (
	maxFlowLimit   = 1_000_000
	maxStopTimeout = Duration(24 * time.Hour)
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, invalid(path, "file", "cannot be read: "+errors.UnwrapAll(err).Error())
	}
	return Parse(path, string(b))
}

// Parse parses and checks settings; name is the file name in errors.
func Parse(name, text string) (*File, error) {
	f := &File{}
	m, err := toml.Decode(text, f)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	if u := m.Undecoded(); len(u) > 0 {
		return nil, invalid(name, u[0].String(), "unknown key")
	}
	c := checker{
		file: name,
	}
	c.checkFile(f)
	return f, c.err
}

func syntaxError(name string, err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return invalid(name, cmp.Or(p.LastKey, "file"), fmt.Sprintf("line %d: %s", p.Position.Line, oneLine(p.Message)))
	}
	return invalid(name, "file", oneLine(err.Error()))
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

func invalid(file, key, reason string) error {
	return failure.Mark(errors.Newf("%s: %s: %s", file, key, reason), ErrInvalid)
}

// checker checks a file and keeps the first error.
type checker struct {
	file string
	err  error
}

func (c *checker) checkFile(f *File) {
	switch {
	case f.Passthrough != nil && (f.Balancer != nil || f.Agent != nil):
		c.fail("passing", "cannot be combined with a [balancer] or [agent] section")
	case f.Passthrough != nil:
		c.checkPassthrough(f.Passthrough)
	case f.Balancer == nil && f.Agent == nil:
		c.fail("file", "needs a [balancer] or an [agent] section")
	case f.Balancer != nil && f.Agent != nil:
		c.fail("agent", "one process is either a balancer or an agent")
	case f.Balancer != nil:
		c.checkBalancer(f.Balancer)
	default:
		c.checkAgent(f.Agent)
	}
	switch f.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		c.fail("log.level", "must be debug, info, warn or error")
	}
}

func (c *checker) checkBalancer(b *Balancer) {
	c.checkInstance("balancer", &b.Instance)
	c.url("balancer.platform", b.Platform, true)
}

func (c *checker) checkAgent(a *Agent) {
	c.checkInstance("agent", &a.Instance)
	c.text("agent.service", a.Service)
	c.address("agent.fabric_address", a.FabricAddress)
	c.address("agent.backend_server", a.BackendServer)
	c.url("agent.load_url", a.LoadURL, false)
	if len(a.Balancers) == 0 {
		c.fail("agent.balancers", "needs at least one address")
	}
	if a.FlowLimit < 1 || a.FlowLimit > maxFlowLimit {
		c.fail("agent.flow_limit", fmt.Sprintf("must be between 1 and %d", maxFlowLimit))
	}
	if a.StopTimeout < 0 || a.StopTimeout > maxStopTimeout {
		c.fail("agent.stop_timeout", "must be between 0s and 24h")
	}
}

func (c *checker) checkInstance(section string, i *Instance) {
	c.text(section+".name", i.Name)
	c.text(section+".region", i.Region)
	c.text(section+".failure_domain", i.Domain)
	c.address(section+".packet_address", i.PacketAddress)
	c.address(section+".control_address", i.ControlAddress)
	if i.AdminAddress != "" {
		c.address(section+".admin_address", i.AdminAddress)
	}
	for n, b := range i.Balancers {
		c.address(fmt.Sprintf("%s.balancers[%d]", section, n), b)
	}
}

func (c *checker) text(key, s string) {
	switch {
	case s == "":
		c.fail(key, "is missing")
	case strings.ContainsAny(s, " \t\n\"'"):
		c.fail(key, "must not contain spaces or quotes")
	}
}

// address accepts an IPv4 address and port.
func (c *checker) address(key, s string) {
	if s == "" {
		c.fail(key, "is missing")
		return
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.fail(key, fmt.Sprintf("%q is not an IPv4 address and port", s))
	}
}

func (c *checker) url(key, s string, required bool) {
	if s == "" {
		if required {
			c.fail(key, "is missing")
		}
		return
	}
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(key, fmt.Sprintf("%q is not an HTTP address", s))
	}
}

func (c *checker) fail(key, reason string) {
	if c.err == nil {
		c.err = invalid(c.file, key, reason)
	}
}
