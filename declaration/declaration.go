// Package declaration reads services declared in TOML files under version
// control, and compares them with the declared state that the platform stores.
package declaration

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/intent"
)

// ErrInvalid is returned for a declaration that cannot be accepted. The error text
// is one line with the origin, mostly a file, the field and the reason.
var ErrInvalid = errors.New("invalid declaration")

const (
	maxFlowLimit = 1_000_000
	maxWarmup    = 24 * time.Hour
)

// file is the content of one TOML file.
type file struct {
	Services []Service `toml:"service"`
}

// Service is one declared service.
type Service struct {
	Name      string   `toml:"name"`
	Address   string   `toml:"address"`
	Domains   []string `toml:"failure_domains"`
	FlowLimit int64    `toml:"flow_limit"`
	ColdShare float64  `toml:"cold_share"`
	Warmup    string   `toml:"warmup"`
}

// Proto converts the service to the form in which it is stored. The declaration
// must be valid.
func (s *Service) Proto() *controlpb.Service {
	w, _ := time.ParseDuration(s.Warmup)
	return &controlpb.Service{
		Name:      s.Name,
		Address:   s.Address,
		Domains:   s.Domains,
		FlowLimit: uint32(s.FlowLimit),
		ColdShare: s.ColdShare,
		WarmupMs:  uint32(w.Milliseconds()),
	}
}

// Read reads all .toml files of a directory. A directory without any is invalid, and
// so is a name or an address that is declared twice.
func Read(dir string) ([]Service, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(paths) == 0 {
		return nil, invalid(dir, "directory", "has no .toml files")
	}
	slices.Sort(paths)
	var all []Service
	seen := map[string]string{}
	for _, p := range paths {
		l, err := readFile(p)
		if err != nil {
			return nil, err
		}
		for _, s := range l {
			if other, ok := seen[s.Name]; ok {
				return nil, invalid(p, "service."+s.Name, "is declared in "+other+" too")
			}
			seen[s.Name] = p
		}
		all = append(all, l...)
	}
	return all, checkAddresses(all)
}

func readFile(path string) ([]Service, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, invalid(path, "file", errors.UnwrapAll(err).Error())
	}
	var f file
	metadata, err := toml.Decode(string(b), &f)
	if err != nil {
		return nil, invalid(path, "file", strings.Join(strings.Fields(err.Error()), " "))
	}
	if u := metadata.Undecoded(); len(u) > 0 {
		return nil, invalid(path, u[0].String(), "unknown key")
	}
	for i := range f.Services {
		if err := Check(path, &f.Services[i]); err != nil {
			return nil, err
		}
	}
	return f.Services, nil
}

// Check returns an error for the first invalid field of a service. The error text
// begins with origin, the place where the service is declared.
func Check(origin string, s *Service) error {
	key := func(f string) string { return "service." + s.Name + "." + f }
	if s.Name == "" || strings.ContainsAny(s.Name, " \t\"'/") {
		return invalid(origin, "service.name", fmt.Sprintf("%q is not a valid name", s.Name))
	}
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return invalid(origin, key("address"), fmt.Sprintf("%q is not an IPv4 address and port", s.Address))
	}
	if s.FlowLimit < 1 || s.FlowLimit > maxFlowLimit {
		return invalid(origin, key("flow_limit"), fmt.Sprintf("must be between 1 and %d", maxFlowLimit))
	}
	if s.ColdShare <= 0 || s.ColdShare > 1 {
		return invalid(origin, key("cold_share"), "must be above 0 and at most 1")
	}
	w, err := time.ParseDuration(s.Warmup)
	if err != nil || w < 0 || w > maxWarmup {
		return invalid(origin, key("warmup"), fmt.Sprintf("%q is not a time between 0s and 24h", s.Warmup))
	}
	return nil
}

// checkAddresses rejects services that share an address: their packets could not
// be distinguished.
func checkAddresses(all []Service) error {
	nameByAddress := map[string]string{}
	for i := range all {
		s := &all[i]
		if other, ok := nameByAddress[s.Address]; ok {
			return invalid("declarations", "service."+s.Name+".address", "is the address of "+other+" too")
		}
		nameByAddress[s.Address] = s.Name
	}
	return nil
}

// Change is one difference between the declarations and the declared state.
type Change struct {
	// Sign is "+" for a new service, "~" for a changed one and "-" for a removed one.
	Sign    string `json:"sign"`
	Service string `json:"service"`
	Details string `json:"details"`
}

// Plan lists the changes that make the declared state equal to the declarations.
func Plan(d *intent.Document, declared []Service) []Change {
	var l []Change
	declaredNames := map[string]bool{}
	for i := range declared {
		s := &declared[i]
		declaredNames[s.Name] = true
		if c, ok := compare(d.Services[s.Name], s); ok {
			l = append(l, c)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(d.Services)) {
		if !declaredNames[n] && !d.Services[n].GetDeleted() {
			l = append(l, Change{
				Sign:    "-",
				Service: n,
				Details: "no longer declared",
			})
		}
	}
	return l
}

// Apply adds the planned changes to an edit.
func Apply(e *intent.Edit, plan []Change, declared []Service) {
	for _, c := range plan {
		if c.Sign == "-" {
			e.DeleteService(c.Service)
			continue
		}
		for i := range declared {
			if declared[i].Name == c.Service {
				e.PutService(declared[i].Proto())
			}
		}
	}
}

func compare(old *controlpb.Service, s *Service) (Change, bool) {
	n := s.Proto()
	c := Change{
		Sign:    "~",
		Service: s.Name,
	}
	if old == nil || old.GetDeleted() {
		c.Sign = "+"
		c.Details = fmt.Sprintf("address %s, flow_limit %d", n.GetAddress(), n.GetFlowLimit())
		return c, true
	}
	var parts []string
	add := func(field string, a, b any) {
		if fmt.Sprint(a) != fmt.Sprint(b) {
			parts = append(parts, fmt.Sprintf("%s %v -> %v", field, a, b))
		}
	}
	add("address", old.GetAddress(), n.GetAddress())
	add("failure_domains", old.GetDomains(), n.GetDomains())
	add("flow_limit", old.GetFlowLimit(), n.GetFlowLimit())
	add("cold_share", old.GetColdShare(), n.GetColdShare())
	add("warmup_ms", old.GetWarmupMs(), n.GetWarmupMs())
	c.Details = strings.Join(parts, ", ")
	return c, len(parts) > 0
}

func invalid(origin, field, reason string) error {
	return failure.Mark(errors.Newf("%s: %s: %s", origin, field, reason), ErrInvalid)
}
