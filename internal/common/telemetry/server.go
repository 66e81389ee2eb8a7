package telemetry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"github.com/thejerf/suture/v4"
)

const (
	// requestTimeout limits reading a request and writing its response. Without it,
	// an unauthenticated peer that reaches the observe address could hold
	// connections open.
	requestTimeout = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// Handler returns the handler of /metrics, /ready and /live. /ready responds with
// status 503 and one reason a line while the process is not ready.
func (t *Telemetry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{Registry: t.registry}))
	mux.HandleFunc("GET /ready", t.serveReady)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "live\n")
	})
	return mux
}

func (t *Telemetry) serveReady(w http.ResponseWriter, _ *http.Request) {
	var reasons []string
	if t.config.Ready != nil {
		reasons = t.config.Ready()
	}
	if len(reasons) == 0 {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, strings.Join(reasons, "\n"), http.StatusServiceUnavailable)
}

// Serve serves the observe address until ctx ends, and returns nil then. If Shutdown
// closes the listener first, it returns suture.ErrDoNotRestart.
func (t *Telemetry) Serve(ctx context.Context) error {
	if t.listener == nil {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{
		Handler:        t.Handler(),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(t.listener)
	if ctx.Err() != nil {
		return nil
	}
	if errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return oops.Code("observe-server-failed").Wrap(err)
}
