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
	maxHandoverChanges = 8
	maxHandoverNames   = 6
)

// handover is the summary of a region for the operators of the next shift. Behind
// counts the silent balancers too, Instances does not.
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
	for name, domain := range d.Domains {
		if domain.GetOut() {
			h.Out = append(h.Out, fmt.Sprintf("%s since %s", name, formatTime(domain.GetSinceMs())))
		}
	}
	slices.Sort(h.Out)
	for _, m := range f.Members {
		if m.GetService() == roster.InstanceService {
			continue
		}
		state := targetState(d, m, f.Instance(m.GetTarget()).GetVitals())
		if state == "serving" {
			h.Serving++
			continue
		}
		h.States[state] = append(h.States[state], m.GetTarget())
	}
	for _, o := range slices.Backward(d.Operations) {
		if len(h.Changes) < maxHandoverChanges {
			h.Changes = append(h.Changes, fmt.Sprintf("%s  %s: %s", formatTime(o.GetAtMs()), o.GetAuthor(), o.GetSummary()))
		}
	}
	return s.print(&h)
}

// Text formats the handover in fewer than 25 lines.
func (h *handover) Text() string {
	var b strings.Builder
	line := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(&b, "%-12s %s\n", name, fmt.Sprintf(format, values...))
	}
	line("region", "%s, revision %d, registrar %s", h.Region, h.Revision, h.Registrar)
	line("in force", "on %d of %d instances", h.Instances-h.Behind+len(h.Silent), h.Instances+len(h.Silent))
	line("silent", "%s", abbreviate(h.Silent))
	line("domains out", "%s", abbreviate(h.Out))
	line("serving", "%d targets", h.Serving)
	for _, state := range []string{stateDraining, "cold", "full", "out", "unheard", "crashed", "left"} {
		line(state, "%s", abbreviate(h.States[state]))
	}
	_, _ = fmt.Fprintln(&b, "recent changes")
	for _, c := range h.Changes {
		_, _ = fmt.Fprintln(&b, "  "+c)
	}
	return b.String()
}

// abbreviate lists the first names and counts the rest.
func abbreviate(l []string) string {
	switch {
	case len(l) == 0:
		return "none"
	case len(l) > maxHandoverNames:
		return fmt.Sprintf("%s and %d more", strings.Join(l[:maxHandoverNames], ", "), len(l)-maxHandoverNames)
	}
	return strings.Join(l, ", ")
}
