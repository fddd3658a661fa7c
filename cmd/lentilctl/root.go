package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/cmd/internal/usage"
	"github.com/lentilshed/lentilshed/configcheck"
	"github.com/lentilshed/lentilshed/declaration"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/operator"
	"github.com/lentilshed/lentilshed/query"
	"github.com/lentilshed/lentilshed/store"
	"github.com/spf13/cobra"
)

const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage stands for wrong usage, also in a statement, and invalid declarations.
	exitUsage = 2
	// exitLostRace tells scripts that another operator's change was accepted first.
	exitLostRace = 3
	// exitUnknown tells scripts that a change may have been accepted.
	exitUnknown = 4
)

// command is one command line of lentilctl.
type command struct {
	platform string
	region   string
	author   string
	output   string
	file     string
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
}

// run executes one command line and returns the exit status.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	c := &command{
		in:     in,
		out:    out,
		errOut: errOut,
	}
	r := c.root()
	r.SetArgs(args)
	r.SetOut(out)
	r.SetErr(errOut)
	err := usage.Execute(r)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "lentilctl:", err)
	return exitStatus(err)
}

func exitStatus(err error) int {
	switch {
	case errors.Is(err, intent.ErrLostRace):
		return exitLostRace
	case errors.Is(err, intent.ErrUnknownOutcome):
		return exitUnknown
	case errors.Is(err, usage.ErrWrong), errors.Is(err, query.ErrSyntax),
		errors.Is(err, declaration.ErrInvalid), errors.Is(err, configcheck.ErrInvalid):
		return exitUsage
	}
	return exitFailed
}

func (c *command) root() *cobra.Command {
	r := &cobra.Command{
		Use:   "lentilctl [STATEMENT]",
		Short: "Show and change the state of a region",
		Long: "Without a statement, lentilctl reads statements from a file (-f), from standard input, or at a prompt.\n" +
			"Try: lentilctl help",
		Args:          cobra.ArbitraryArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return c.statements(args)
		},
	}
	r.SetHelpCommand(&cobra.Command{Hidden: true, Use: "no-help"})
	f := r.PersistentFlags()
	f.StringVar(&c.platform, "platform", os.Getenv("LENTILSHED_PLATFORM"), "base URL of the platform's object API")
	f.StringVar(&c.region, "region", os.Getenv("LENTILSHED_REGION"), "region to work in")
	f.StringVar(&c.author, "author", userName(), "name of the operator who makes the changes")
	f.StringVarP(&c.output, "output", "o", "text", "text or json")
	r.Flags().StringVarP(&c.file, "file", "f", "", "file of statements, one per line; - for standard input")
	r.AddCommand(c.planCommand(), c.applyCommand(), c.waitCommand(), c.checkConfigCommand())
	return r
}

func (c *command) planCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "plan -f DIR",
		Short: "Show what declarations would change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withSession(cmd.Context(), func(ctx context.Context, s *operator.Session) error { return s.Plan(ctx, dir) })
		},
	}
	cmd.Flags().StringVarP(&dir, "file", "f", "", "directory of TOML declarations")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (c *command) applyCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "apply -f DIR",
		Short: "Change the accepted state to what is declared, in one change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withSession(cmd.Context(), func(ctx context.Context, s *operator.Session) error { return s.Apply(ctx, dir) })
		},
	}
	cmd.Flags().StringVarP(&dir, "file", "f", "", "directory of TOML declarations")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (c *command) waitCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait [REVISION]",
		Short: "Wait until a revision is in force on every instance",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n := uint64(0)
			if len(args) == 1 {
				v, err := strconv.ParseUint(args[0], 10, 64)
				if err != nil {
					return failure.Mark(errors.Newf("REVISION: %q is not a number", args[0]), usage.ErrWrong)
				}
				n = v
			}
			return c.withSession(cmd.Context(), func(ctx context.Context, s *operator.Session) error {
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				return s.Wait(ctx, n)
			})
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "how long to wait")
	return cmd
}

// withSession opens a session and runs f in it.
func (c *command) withSession(ctx context.Context, f func(context.Context, *operator.Session) error) error {
	s, err := c.session()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	return f(ctx, s)
}

func (c *command) session() (*operator.Session, error) {
	if c.platform == "" {
		return nil, failure.Mark(errors.New("--platform: is missing, and LENTILSHED_PLATFORM is not set"), usage.ErrWrong)
	}
	if c.region == "" {
		return nil, failure.Mark(errors.New("--region: is missing, and LENTILSHED_REGION is not set"), usage.ErrWrong)
	}
	if c.output != string(operator.OutputText) && c.output != string(operator.OutputJSON) {
		return nil, failure.Mark(errors.Newf("--output: %q is neither text nor json", c.output), usage.ErrWrong)
	}
	return operator.New(operator.Config{
		Client: store.New(store.Config{
			BaseURL: c.platform,
			Seed:    uint64(time.Now().UnixNano()),
		}),
		Region: c.region,
		Author: c.author,
		Output: operator.Output(c.output),
		Out:    c.out,
	}), nil
}

// statements runs one statement, a file of them, or a prompt.
func (c *command) statements(args []string) error {
	s, err := c.session()
	if err != nil {
		return err
	}
	if len(args) > 0 {
		return s.Do(context.Background(), strings.Join(args, " "))
	}
	if c.file == "" && isTerminal(c.in) {
		return c.prompt(s)
	}
	return c.script(s)
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
