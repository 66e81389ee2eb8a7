package sibling

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/samber/oops"
)

const (
	// pingAfter and pingTimeout together detect a silent connection within 4 s.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second

	readHeaderTimeout = 5 * time.Second
	maxStreams        = 1000
)

// Server receives requests from siblings.
type Server struct {
	config ServerConfig
	server *http.Server
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Self identity.OwnerID
	Keys *keyring.Store
	// Handler serves the requests. OriginOf returns the Origin of each.
	Handler http.Handler
}

// NewServer returns a Server, which accepts requests when Serve is called.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	s.server = &http.Server{
		Handler:           s,
		TLSConfig:         config.Keys.TLS("h2"),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		},
	}
	return s
}

// Serve accepts requests until ctx ends. Then it closes the listener, waits for the
// requests in progress and returns nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		// No timeout is needed: requests in progress end by their own deadlines.
		_ = s.server.Shutdown(context.WithoutCancel(ctx))
	})
	err := s.server.Serve(tls.NewListener(listener, s.server.TLSConfig))
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.Code("sibling-accept-failed").Wrap(err)
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.server.Close() }

// ServeHTTP calls the handler if the request is meant for this sidecar.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	owner, origin, ok := readHeaders(r.Header)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if owner != s.config.Self {
		// The sender meant another process, which had this address before.
		w.Header().Set(hopHeader, misdirected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	RemoveHeaders(r.Header)
	s.config.Handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), originKey{}, origin)))
}
