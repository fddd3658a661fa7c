package telemetry

import (
	"context"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Tracer records a span for each hop of sampled flows. Every instance derives
// the trace ID from the flow alone, so the spans of one flow form one trace across
// balancers and agents without any context on the wire. A nil Tracer records
// nothing.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	oneIn    uint64
}

// NewTracer returns a tracer that samples one flow in oneIn and writes spans
// as JSON lines. It returns a nil Tracer if oneIn is zero.
func NewTracer(w io.Writer, instance string, oneIn uint64) (*Tracer, error) {
	if oneIn == 0 {
		return nil, nil //nolint:nilnil // A nil tracer is the documented way to record nothing.
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Wrap(err, "open trace output")
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithSampler(sdk.AlwaysSample()))
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("lentilshed", trace.WithInstrumentationAttributes(attribute.String("instance", instance))),
		oneIn:    oneIn,
	}, nil
}

// Sampled reports whether spans are recorded for a flow with this hash.
func (t *Tracer) Sampled(flow uint64) bool {
	return t != nil && flow%t.oneIn == 0
}

// RecordHop records that an instance handled a packet of a flow, which the caller
// knows to be sampled.
func (t *Tracer) RecordHop(flow uint64, name string, attributes ...attribute.KeyValue) {
	if t == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), spanContext(flow))
	_, s := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	s.End()
}

// Close writes the remaining spans.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "close traces")
}

func spanContext(flow uint64) trace.SpanContext {
	var id trace.TraceID
	var s trace.SpanID
	binary.BigEndian.PutUint64(id[8:], flow)
	binary.BigEndian.PutUint64(s[:], flow|1)
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    id,
		SpanID:     s,
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	})
}
