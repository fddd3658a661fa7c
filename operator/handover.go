package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
)

const (
	handoverChanges = 8
	handoverNames   = 6
)

// handover is what an arriving shift needs to know.
type handover struct {
	Region    string              `json:"region"`
	Revision  uint64              `json:"revision"`
	Registrar string              `json:"registrar"`
	Behind    int                 `json:"instances_behind"`
	Instances int                 `json:"instances"`
	Silent    []string            `json:"silent_balancers"`
	Out       []string            `json:"domains_out"`
	States    map[string][]string `json:"targets_by_state"`
	Serving   int                 `json:"targets_serving"`
	Changes   []string            `json:"recent_changes"`
}

// showHandover prints the state in less than 25 lines.
func (s *Session) showHandover(d *intent.Document, f *fleet.Snapshot) error {
	h := handover{
		Region:    s.config.Region,
		Revision:  d.Revision,
		Registrar: f.Registrar,
		Behind:    f.CountBehind(d.Revision),
		Instances: len(f.Instances),
		Silent:    f.Silent,
		States:    map[string][]string{},
	}
	for n, x := range d.Domains {
		if x.GetOut() {
			h.Out = append(h.Out, fmt.Sprintf("%s since %s", n, clock(x.GetSinceMs())))
		}
	}
	slices.Sort(h.Out)
	for _, m := range f.Members {
		if m.GetService() == roster.InstanceService {
			continue
		}
		st := targetState(d, m, f.Instance(m.GetTarget()).GetVitals())
		if st == "serving" {
			h.Serving++
			continue
		}
		h.States[st] = append(h.States[st], m.GetTarget())
	}
	for _, o := range slices.Backward(d.Operations) {
		if len(h.Changes) < handoverChanges {
			h.Changes = append(h.Changes, fmt.Sprintf("%s  %s: %s", clock(o.GetAtMs()), o.GetAuthor(), o.GetSummary()))
		}
	}
	return s.print(&h)
}

// Text lays the handover out in less than 25 lines.
func (h *handover) Text() string {
	var b strings.Builder
	line := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(&b, "%-12s %s\n", name, fmt.Sprintf(format, values...))
	}
	line("region", "%s, revision %d, registrar %s", h.Region, h.Revision, h.Registrar)
	line("in force", "on %d of %d instances", h.Instances-h.Behind+len(h.Silent), h.Instances+len(h.Silent))
	line("silent", "%s", short(h.Silent))
	line("domains out", "%s", short(h.Out))
	line("serving", "%d targets", h.Serving)
	for _, st := range []string{stateDraining, "cold", "full", "out", "unheard", "crashed", "left"} {
		line(st, "%s", short(h.States[st]))
	}
	_, _ = fmt.Fprintln(&b, "recent changes")
	for _, c := range h.Changes {
		_, _ = fmt.Fprintln(&b, "  "+c)
	}
	return b.String()
}

// short lists a few names and counts the rest.
func short(l []string) string {
	switch {
	case len(l) == 0:
		return "none"
	case len(l) > handoverNames:
		return fmt.Sprintf("%s and %d more", strings.Join(l[:handoverNames], ", "), len(l)-handoverNames)
	}
	return strings.Join(l, ", ")
}
