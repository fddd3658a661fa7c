package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/chzyer/readline"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/operator"
	"github.com/lentilshed/lentilshed/query"
)

const historySize = 500

// prompt reads statements with history and completion until end of file or an
// interrupt.
func (c *command) prompt(s *operator.Session) error {
	items := make([]readline.PrefixCompleterInterface, 0, len(query.Keywords()))
	for _, w := range query.Keywords() {
		items = append(items, readline.PcItem(w))
	}
	l, err := readline.NewEx(&readline.Config{
		Prompt:       c.region + "> ",
		HistoryLimit: historySize,
		AutoComplete: readline.NewPrefixCompleter(items...),
	})
	if err != nil {
		return errors.Wrap(err, "open prompt")
	}
	defer func() { _ = l.Close() }()
	for {
		line, err := l.Readline()
		if errors.Is(err, io.EOF) || errors.Is(err, readline.ErrInterrupt) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read statement")
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := s.Do(context.Background(), line); err != nil {
			_, _ = fmt.Fprintln(c.errOut, err)
		}
	}
}

func isTerminal(r io.Reader) bool {
	f, ok := r.(*os.File)
	return ok && readline.IsTerminal(int(f.Fd()))
}
