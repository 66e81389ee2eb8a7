package telemetry

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// TraceHop returns a handler that records a server span called name around each
// request. The parent of the span comes from the traceparent header. next receives the
// new span in that header and in the request's context. attributes is called only if
// the span is recorded, and may be nil.
func TraceHop(scope, name string, attributes func(*http.Request) []attribute.KeyValue, next http.Handler) http.Handler {
	tracer := otel.Tracer(scope)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		carrier := propagation.HeaderCarrier(r.Header)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), carrier)
		ctx, span := tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if attributes != nil && span.IsRecording() {
			span.SetAttributes(attributes(r)...)
		}
		otel.GetTextMapPropagator().Inject(ctx, carrier)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
