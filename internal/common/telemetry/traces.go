package telemetry

import (
	"context"
	"errors"
	"os"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
)

const traceFileMode = 0o644

// traces owns the tracer provider and the file that spans are written to.
type traces struct {
	provider *sdktrace.TracerProvider
	// file is nil if spans are not written to a file.
	file *os.File
}

func newTraces(config Config) (*traces, error) {
	t := &traces{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "orioledyke-"+string(config.Role)),
			attribute.String("host.name", config.Host),
			attribute.String("data-centre", config.DataCentre),
		)),
		sdktrace.WithSampler(sampler(config)),
	}
	if config.Traces.File != "" {
		exporter, err := t.openFile(config.Traces.File)
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if config.Traces.OTLPEndpoint != "" {
		// The endpoint is a collector on this host or network, which accepts
		// plaintext. The exporter connects in the background.
		exporter, err := otlptracegrpc.New(context.Background(),
			otlptracegrpc.WithEndpoint(config.Traces.OTLPEndpoint), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, errors.Join(oops.Code("traces-unavailable").Wrap(err), t.closeFile())
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	return t, nil
}

// sampler returns a sampler that records a share of all traces. It selects them by
// trace ID, so that every process records the same ones. The sampled flag of a client
// does not force recording, because clients are anonymous and spans cost processor
// time. A client that clears the flag prevents recording. Without an output, nothing is
// recorded.
func sampler(config Config) sdktrace.Sampler {
	if config.Traces.File == "" && config.Traces.OTLPEndpoint == "" {
		return sdktrace.NeverSample()
	}
	ratio := sdktrace.TraceIDRatioBased(config.Traces.Ratio())
	return sdktrace.ParentBased(ratio, sdktrace.WithRemoteParentSampled(ratio))
}

func (t *traces) openFile(path string) (sdktrace.SpanExporter, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, oops.Code("traces-unavailable").Wrapf(err, "open traces.file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(oops.Code("traces-unavailable").Wrap(err), file.Close())
	}
	t.file = file
	return exporter, nil
}

// install makes t the global tracer provider of the process, and logs export errors.
func (t *traces) install(logger *zap.Logger) {
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		logger.Warn("trace-export-failed", zap.Error(err))
	}))
}

func (t *traces) shutdown(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return errors.Join(oops.Code("traces-not-flushed").Wrap(err), t.closeFile())
	}
	return t.closeFile()
}

func (t *traces) closeFile() error {
	if t.file == nil {
		return nil
	}
	file := t.file
	t.file = nil
	if err := file.Close(); err != nil {
		return oops.Wrapf(err, "close traces.file")
	}
	return nil
}
