// Package query parses the operators' language. A statement is one line that
// shows or changes the state of the system.
package query

import (
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
)

// ErrSyntax is returned for a statement that cannot be parsed. The message of Parse
// has the position and, if a keyword is close, the one that was probably meant.
var ErrSyntax = errors.New("syntax error")

// Statement is one parsed statement; exactly one field is set.
type Statement struct {
	Show      *Show  `parser:"  'show' @@"`
	Drain     *Drain `parser:"| 'drain' @@"`
	Undrain   *Name  `parser:"| 'undrain' @@"`
	TakeOut   *Name  `parser:"| 'take' 'out' 'domain' @@"`
	BringBack *Name  `parser:"| 'bring' 'back' 'domain' @@"`
	Set       *Set   `parser:"| 'set' 'service' @@"`
	Help      bool   `parser:"| @'help'"`
}

// Show prints one of the tables or the handover.
type Show struct {
	What  string `parser:"@('services' | 'targets' | 'domains' | 'instances' | 'changes' | 'handover')"`
	Of    string `parser:"('of' @Word)?"`
	Where *Where `parser:"('where' @@)?"`
}

// Where selects the rows whose column equals a value, or differs from it if Not
// is set.
type Where struct {
	Column string `parser:"@Word"`
	Not    bool   `parser:"(@'!=' | '=')"`
	Value  string `parser:"@Word"`
}

// Drain stops new flows to a target. Deadline is the duration, such as 30m,
// after which its flows are cut; it may be empty. Parse accepts any word for it,
// which Timeout checks.
type Drain struct {
	Target   string `parser:"@Word"`
	Deadline string `parser:"('within' @Word)?"`
}

// Name is the name of the target or failure domain that a statement changes.
type Name struct {
	Name string `parser:"@Word"`
}

// Set changes one field of a service.
type Set struct {
	Service string `parser:"@Word"`
	Field   string `parser:"@('flow_limit' | 'cold_share' | 'warmup')"`
	Value   string `parser:"@Word"`
}

// Keywords lists every keyword of the language, for completion.
func Keywords() []string {
	return []string{
		"show", "services", "targets", "domains", "instances", "changes", "handover", "of", "where",
		"drain", "within", "undrain", "take", "out", "bring", "back", "domain", "set", "service",
		"flow_limit", "cold_share", "warmup", "help",
	}
}

// Parse parses one statement.
//
//	s, err := query.Parse("show targets of liedlive where state = draining")
func Parse(line string) (*Statement, error) {
	s, err := parser.ParseString("", line)
	if err == nil {
		return s, nil
	}
	var p participle.Error
	if !errors.As(err, &p) {
		return nil, failure.Mark(err, ErrSyntax)
	}
	return nil, syntaxError(line, p)
}

// Timeout returns the time after which flows are cut; zero means no limit.
func (d *Drain) Timeout() (time.Duration, error) {
	if d.Deadline == "" {
		return 0, nil
	}
	t, err := time.ParseDuration(d.Deadline)
	if err != nil || t <= 0 {
		return 0, failure.Mark(errors.Newf("within: %q is not a positive duration such as 30m", d.Deadline), ErrSyntax)
	}
	return t, nil
}

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `[A-Za-z0-9_.:/-]+`},
		{Name: "Op", Pattern: `!=|=`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "Other", Pattern: `.`},
	})),
	participle.Elide("Space"),
)

func syntaxError(line string, p participle.Error) error {
	column := min(max(p.Position().Offset, 0), len(line))
	word, _, _ := strings.Cut(strings.TrimLeft(line[column:], " "), " ")
	if word == "" {
		return failure.Mark(errors.Newf("column %d: the statement ends too soon; try: help", column+1), ErrSyntax)
	}
	if near := Nearest(word, Keywords()); near != "" && near != word {
		return failure.Mark(errors.Newf("column %d: unknown word %q; did you mean %q?", column+1, word, near), ErrSyntax)
	}
	return failure.Mark(errors.Newf("column %d: unexpected %q; try: help", column+1, word), ErrSyntax)
}
