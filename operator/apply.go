package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/lentilshed/lentilshed/declaration"
	"github.com/lentilshed/lentilshed/intent"
)

// plan is the result of Session.Plan: the changes that make the declared state
// at a revision equal to the declarations.
type plan struct {
	Revision uint64               `json:"from_revision"`
	Changes  []declaration.Change `json:"changes"`
}

// Text formats one change a line.
func (p plan) Text() string {
	if len(p.Changes) == 0 {
		return fmt.Sprintf("nothing to change at revision %d\n", p.Revision)
	}
	var b strings.Builder
	for _, c := range p.Changes {
		_, _ = fmt.Fprintf(&b, "%s %s: %s\n", c.Sign, c.Service, c.Details)
	}
	return b.String()
}

// Plan prints the changes that Apply would make.
func (s *Session) Plan(ctx context.Context, dir string) error {
	_, _, err := s.plan(ctx, dir)
	return err
}

// Apply prints the changes and makes them in one conditional write.
func (s *Session) Apply(ctx context.Context, dir string) error {
	h, declared, err := s.plan(ctx, dir)
	if err != nil {
		return err
	}
	l := declaration.Plan(h.Document, declared)
	if len(l) == 0 {
		return nil
	}
	summary := fmt.Sprintf("apply %d changed services", len(l))
	return s.ChangeFrom(ctx, h, summary, func(e *intent.Edit) error {
		declaration.Apply(e, l, declared)
		return nil
	})
}

func (s *Session) plan(ctx context.Context, dir string) (intent.VersionedDocument, []declaration.Service, error) {
	declared, err := declaration.Read(dir)
	if err != nil {
		return intent.VersionedDocument{}, nil, err
	}
	h, err := s.store.Read(ctx)
	if err != nil {
		return intent.VersionedDocument{}, nil, err
	}
	return h, declared, s.print(plan{
		Revision: h.Document.Revision,
		Changes:  declaration.Plan(h.Document, declared),
	})
}
