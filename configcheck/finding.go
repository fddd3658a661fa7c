package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

var (
	// ErrInvalid is the result of findings that have an error.
	ErrInvalid = errors.New("configuration is invalid")
	// ErrWarnings is the result of findings that have a warning but no error.
	ErrWarnings = errors.New("configuration has warnings")
)

// Severity says whether a configuration can be used in spite of a finding.
type Severity string

const (
	// Error is the severity of what makes a configuration or an entry unusable.
	Error Severity = "error"
	// Warning is the severity of what has no effect or contradicts something else.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong at one place.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
}

// String formats the finding as "LINE: SEVERITY: KEY: TEXT".
func (f Finding) String() string {
	return fmt.Sprintf("%d: %s: %s: %s", f.Place.Line, f.Severity, f.Place.Key, f.Text)
}

// Findings is a list of findings in the order of their lines.
type Findings []Finding

// Sort sorts the findings by line and keeps the order of those of one line.
func (l Findings) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int { return cmp.Compare(a.Place.Line, b.Place.Line) })
}

// Count returns the number of findings of a severity.
func (l Findings) Count(s Severity) int {
	n := 0
	for _, f := range l {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Err returns ErrInvalid, ErrWarnings or nil, with the number of findings in the message.
func (l Findings) Err() error {
	e, w := l.Count(Error), l.Count(Warning)
	switch {
	case e > 0:
		return errors.Wrapf(ErrInvalid, "errors: %d, warnings: %d", e, w)
	case w > 0:
		return errors.Wrapf(ErrWarnings, "warnings: %d", w)
	}
	return nil
}

// Add adds a finding.
func (l *Findings) Add(s Severity, p Place, format string, args ...any) {
	*l = append(*l, Finding{
		Severity: s,
		Place:    p,
		Text:     fmt.Sprintf(format, args...),
	})
}
