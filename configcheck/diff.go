package configcheck

import (
	"fmt"
	"strconv"
	"strings"
)

// Diff returns what differs between two configurations, one line for each entry that was added
// or removed and for each field that has changed. Entries are the same if their names are.
func Diff(old, current *Config) []string {
	var l []string
	l = appendChange(l, "", current.Version.Place.Key, old.Version.format(), current.Version.format())
	l = append(l, diffEntries("route", routeEntries(old), routeEntries(current))...)
	l = append(l, diffEntries("service", serviceEntries(old), serviceEntries(current))...)
	return appendChange(l, "", current.IdleTimeout.Place.Key, old.IdleTimeout.format(), current.IdleTimeout.format())
}

// CheckVersion returns a warning if a version is not above the one in force: balancers keep
// the configuration with the higher version.
func CheckVersion(old, current *Config) Findings {
	var l Findings
	if old.Version.Set && current.Version.Set && current.Version.Value <= old.Version.Value {
		l.Add(Warning, current.Version.Place, "%s is not above the version in force, %s", current.Version.Literal, old.Version.Literal)
	}
	return l
}

// entry is a route or a service as a list of texts.
type entry struct {
	id     entryID
	fields []field
}

// entryID identifies an entry among those of its kind. Occurrence counts those of the same name, which is
// an error but is compared all the same.
type entryID struct {
	name       string
	occurrence int
}

type field struct {
	name  string
	value string
}

// describe returns the name and the fields that are set.
func (e entry) describe(kind string) string {
	var l []string
	for _, f := range e.fields {
		if f.value != "" {
			l = append(l, f.name+" "+f.value)
		}
	}
	if len(l) == 0 {
		return kind + " " + e.id.name
	}
	return kind + " " + e.id.name + ": " + strings.Join(l, ", ")
}

// entryList collects entries of one kind.
type entryList struct {
	entries []entry
	count   map[string]int
}

// add adds an entry whose first field is its name.
func (l *entryList) add(fields ...field) {
	if l.count == nil {
		l.count = map[string]int{}
	}
	name := fields[0].value
	l.entries = append(l.entries, entry{
		id: entryID{
			name:       name,
			occurrence: l.count[name],
		},
		fields: fields[1:],
	})
	l.count[name]++
}

func textField(t Text) field {
	return field{
		name:  t.Place.name(),
		value: t.Value,
	}
}

func numberField(n Number) field {
	return field{
		name:  n.Place.name(),
		value: n.format(),
	}
}

// format returns the number in one way, however it is written, and "" if it is missing.
func (n Number) format() string {
	if !n.Set {
		return ""
	}
	return strconv.FormatFloat(n.Value, 'f', -1, 64)
}

// name returns the last part of the key.
func (p Place) name() string {
	return p.Key[strings.LastIndexByte(p.Key, '.')+1:]
}

func routeEntries(c *Config) []entry {
	var l entryList
	for _, r := range c.Routes {
		shares := make([]string, 0, len(r.Shares))
		for _, s := range r.Shares {
			shares = append(shares, s.Service.Value+" "+s.Weight.format())
		}
		split := field{
			name:  r.Split.name(),
			value: strings.Join(shares, " + "),
		}
		l.add(textField(r.Name), textField(r.Host), textField(r.Port), textField(r.Service), split,
			numberField(r.Priority), numberField(r.Objective), numberField(r.Timeout))
	}
	return l.entries
}

func serviceEntries(c *Config) []entry {
	var l entryList
	for _, s := range c.Services {
		l.add(textField(s.Name), textField(s.HealthPath), numberField(s.MaxFlows), numberField(s.ColdRate), numberField(s.WarmUp))
	}
	return l.entries
}

// diffEntries compares the entries of one kind, first the present ones in their order.
func diffEntries(kind string, old, current []entry) []string {
	before := map[entryID]entry{}
	for _, e := range old {
		before[e.id] = e
	}
	var l []string
	seen := map[entryID]bool{}
	for _, e := range current {
		seen[e.id] = true
		o, ok := before[e.id]
		if !ok {
			l = append(l, "+ "+e.describe(kind))
			continue
		}
		for i, f := range e.fields {
			l = appendChange(l, kind+" "+e.id.name+": ", f.name, o.fields[i].value, f.value)
		}
	}
	for _, e := range old {
		if !seen[e.id] {
			l = append(l, "- "+e.describe(kind))
		}
	}
	return l
}

// appendChange appends a line if two values differ.
func appendChange(l []string, prefix, name, old, current string) []string {
	if old == current {
		return l
	}
	return append(l, fmt.Sprintf("~ %s%s: %s -> %s", prefix, name, orNone(old), orNone(current)))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
