package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"
)

func newTelemetry(c *qt.C, config telemetry.Config) *telemetry.Telemetry {
	config.Role, config.Host, config.DataCentre = settings.RoleBalancer, "entry-1", "hr-east-a"
	t, err := telemetry.New(config)
	c.Assert(err, qt.IsNil)
	return t
}

// TestLogIsOneLine guards against events that take several lines because a value or an
// error contains a line break, and against stack traces in the log.
func TestLogIsOneLine(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	logger := newTelemetry(c, telemetry.Config{Output: &output}).Logger()
	logger.Info("member-joined", zap.String("member", "a b\nc"))
	logger.Warn("reload-failed", zap.Error(oops.Code("key-ring-invalid").Wrap(errors.New("line 1\nline 2"))))
	lines := strings.Split(strings.TrimSuffix(output.String(), "\n"), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Check(lines[0], qt.Matches, `time=\S+ level=info event=member-joined role=balancer host=entry-1 data-centre=hr-east-a member="a b\\nc"`)
	c.Check(lines[1], qt.Matches, `time=\S+ level=warn event=reload-failed role=balancer host=entry-1 data-centre=hr-east-a error="line 1\\nline 2" code=key-ring-invalid`)
}

// TestObserveServer guards against a process that reports that it is ready while it still
// has reasons not to be, and against missing metrics.
func TestObserveServer(t *testing.T) {
	c := qt.New(t)
	var reasons atomic.Pointer[[]string]
	reasons.Store(&[]string{"no contract", "no peer"})
	tel := newTelemetry(c, telemetry.Config{
		ObserveAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		Ready:          func() []string { return *reasons.Load() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- tel.Serve(ctx) }()
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + tel.Address().String() + path)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return response.StatusCode, string(body)
	}
	status, body := get("/ready")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Equals, "no contract\nno peer\n")
	reasons.Store(new([]string))
	status, _ = get("/ready")
	c.Check(status, qt.Equals, http.StatusOK)
	status, _ = get("/live")
	c.Check(status, qt.Equals, http.StatusOK)
	_, body = get("/metrics")
	c.Check(body, qt.Contains, "go_goroutines ")
	c.Check(body, qt.Contains, "process_open_fds ")
	_, err := telemetry.New(telemetry.Config{ObserveAddress: tel.Address()})
	c.Check(err, qt.ErrorMatches, "open observe-address .*")
	cancel()
	c.Check(<-served, qt.IsNil)
	c.Check(tel.Shutdown(context.Background()), qt.IsNil)
}

// TestTraces guards against buffered spans that are lost when the process ends, and
// against a trace ID that changes between hops. It also guards against anonymous
// clients that force the recording of spans by their traceparent header.
func TestTraces(t *testing.T) {
	c := qt.New(t)
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	for _, test := range []struct {
		ratio                float64
		flag, propagatedFlag string
		recorded             []string
	}{
		{1, "01", "01", []string{"child", "root"}},
		{1, "00", "00", []string{"root"}},
		{0, "01", "00", nil},
		{0, "00", "00", nil},
	} {
		path := filepath.Join(c.TempDir(), "spans")
		tel := newTelemetry(c, telemetry.Config{Traces: settings.Traces{File: path, SampleRatio: &test.ratio}})
		carrier := propagation.MapCarrier{"traceparent": "00-" + traceID + "-b7ad6b7169203331-" + test.flag}
		ctx := otel.GetTextMapPropagator().Extract(context.Background(), carrier)
		ctx, child := tel.Tracer("test").Start(ctx, "child")
		propagated := propagation.MapCarrier{}
		otel.GetTextMapPropagator().Inject(ctx, propagated)
		c.Check(propagated["traceparent"], qt.Matches, "00-"+traceID+"-[0-9a-f]{16}-"+test.propagatedFlag)
		child.End()
		_, root := tel.Tracer("test").Start(context.Background(), "root")
		root.End()
		c.Assert(tel.Shutdown(context.Background()), qt.IsNil)
		c.Check(spanNames(c, path), qt.DeepEquals, test.recorded)
	}
}

func spanNames(c *qt.C, path string) []string {
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	var names []string
	for decoder := json.NewDecoder(file); decoder.More(); {
		var span struct{ Name string }
		c.Assert(decoder.Decode(&span), qt.IsNil)
		names = append(names, span.Name)
	}
	return names
}
