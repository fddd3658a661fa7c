package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/spf13/cobra"
)

// roleBalancer and roleAgent name the two kinds of process.
const (
	roleBalancer = "balancer"
	roleAgent    = "agent"
)

const traceFlushTimeout = 2 * time.Second

// instance is a running balancer or agent.
type instance struct {
	health func() error
	// stop stops the instance gracefully; an agent logs how many flows it cuts.
	stop func()
}

func newServeCommand(role string, errOut io.Writer) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   role + " --config FILE",
		Short: "Run " + article(role) + " until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(role, path, errOut)
		},
	}
	c.Flags().StringVar(&path, "config", "", "TOML settings file")
	_ = c.MarkFlagRequired("config")
	return c
}

func newCheckCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := settings.Read(args[0]); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(out, "%s: ok\n", args[0])
			return nil
		},
	}
}

func article(role string) string {
	if role == roleAgent {
		return "an agent"
	}
	return "a balancer"
}

// serve runs one instance until SIGTERM or SIGINT.
func serve(role, path string, errOut io.Writer) error {
	f, err := settings.Read(path)
	if err != nil {
		return err
	}
	if (role == roleBalancer && f.Balancer == nil) || (role == roleAgent && f.Agent == nil) {
		return failure.Mark(errors.Newf("%s: %s: section is missing", path, role), settings.ErrInvalid)
	}
	p, err := newProcess(f, role, errOut)
	if err != nil {
		return err
	}
	defer p.close()
	i, err := p.start(f)
	if err != nil {
		return err
	}
	if err := p.serveAdmin(i.health); err != nil {
		i.stop()
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	p.log.Info().Msg("started")
	<-ctx.Done()
	p.log.Info().Msg("stopping")
	i.stop()
	p.log.Info().Msg("stopped")
	return nil
}

// start starts the instance that the settings describe.
func (p *process) start(f *settings.File) (*instance, error) {
	if f.Balancer != nil {
		return p.startBalancer(f.Balancer)
	}
	return p.startAgent(f.Agent)
}

// closeTraces writes the remaining spans and closes their file.
func closeTraces(t *telemetry.Tracer, file io.Closer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = t.Close(ctx)
	if file != nil {
		_ = file.Close()
	}
}

// openTraces returns the tracer that the settings describe, nil if tracing is off,
// and the file to close after it.
func openTraces(t settings.Trace, name string, errOut io.Writer) (*telemetry.Tracer, io.Closer, error) {
	if t.OneIn == 0 {
		return nil, nil, nil
	}
	w := errOut
	var c io.Closer
	if t.File != "" && t.File != "-" {
		f, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, errors.Wrap(err, "trace.file")
		}
		w = f
		c = f
	}
	tracer, err := telemetry.NewTracer(w, name, t.OneIn)
	return tracer, c, err
}
