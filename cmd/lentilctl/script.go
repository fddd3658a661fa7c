package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/cmd/internal/usage"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/operator"
)

// script runs the statements of a file or of standard input and stops at the first
// that fails. Lines that start with # are comments.
func (c *command) script(s *operator.Session) error {
	r := c.in
	name := "input"
	if c.file != "" && c.file != "-" {
		f, err := os.Open(c.file)
		if err != nil {
			return failure.Mark(errors.Wrap(err, "--file"), usage.ErrWrong)
		}
		defer func() { _ = f.Close() }()
		r = f
		name = c.file
	}
	return runLines(s, r, name)
}

func runLines(s *operator.Session, r io.Reader, name string) error {
	b := bufio.NewScanner(r)
	for n := 1; b.Scan(); n++ {
		line := strings.TrimSpace(b.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.Do(context.Background(), line); err != nil {
			return errors.Wrapf(err, "%s line %d", name, n)
		}
	}
	return errors.Wrap(b.Err(), name)
}
