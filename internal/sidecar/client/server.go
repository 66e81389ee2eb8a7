package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	wire "github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/samber/oops"
)

const (
	// idleTimeout ends a flow whose client is silent. Clients are phones that
	// lose coverage for some seconds.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is well below the 30 s after which address translators on
	// the way forget a silent flow.
	keepAlivePeriod = 5 * time.Second
	// packetSize leaves room for the tunnel header and a relayed address within
	// an Ethernet frame.
	packetSize = 1200
)

var errFull = oops.Code("flow-limit-reached").Errorf("the sidecar holds as many flows as the contract allows")

// ServerConfig configures a Server.
type ServerConfig struct {
	Conn    *Conn
	Self    identity.OwnerID
	Service identity.ServiceID
	Keys    *keyring.Store
	// Certificate returns the current certificate towards clients.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	Handler     http.Handler
	// Full reports whether the sidecar holds as many flows as it may. Further
	// ones are refused.
	Full func() bool
}

// Server serves HTTP/3 to clients.
type Server struct {
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	conn      *Conn
	flows     atomic.Int64
	closed    atomic.Bool
}

// NewServer prepares a server. It accepts flows when Serve is called.
func NewServer(config ServerConfig) (*Server, error) {
	s := &Server{conn: config.Conn}
	var resetKey quic.StatelessResetKey
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(resetKey[:])
	s.transport = &quic.Transport{
		Conn:                  config.Conn,
		ConnectionIDGenerator: &generator{config: config},
		StatelessResetKey:     &resetKey,
	}
	s.server = &http3.Server{Handler: config.Handler}
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: config.Certificate,
	})
	quicConfig := &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
	accepted := quicConfig.Clone()
	quicConfig.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if config.Full != nil && config.Full() {
			return nil, errFull
		}
		return accepted, nil
	}
	var err error
	if s.listener, err = s.transport.ListenEarly(tlsConfig, quicConfig); err != nil {
		return nil, oops.Code("quic-listen-failed").Wrap(err)
	}
	return s, nil
}

// Serve accepts flows until ctx ends or the server is closed. It returns nil
// then.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || s.closed.Load() {
				return nil
			}
			return oops.Code("quic-accept-failed").Wrap(err)
		}
		s.flows.Add(1)
		go func() {
			defer s.flows.Add(-1)
			// The error tells why the client or the server closed the flow, which
			// the counters of requests show.
			_ = s.server.ServeQUICConn(conn)
			// After Shutdown a new flow is not served. Closing it at once makes the
			// client open another one, which a sibling gets.
			_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		}()
	}
}

// Flows returns the number of open flows.
func (s *Server) Flows() int { return int(s.flows.Load()) }

// Shutdown sends GOAWAY on every flow, so that clients open no new request.
// Requests in progress go on. It returns when every client has closed its flow,
// which one without requests may never do, or when ctx ends; then all flows end.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close ends all flows at once and tells the clients. It closes the Conn.
func (s *Server) Close() error {
	s.closed.Store(true)
	err := s.server.Close()
	// The transport waits for its reader, which only the end of the Conn stops.
	return errors.Join(err, s.conn.Close(), s.transport.Close())
}

// generator issues connection IDs that name this sidecar.
type generator struct {
	config ServerConfig
	nonce  atomic.Uint64
}

// GenerateConnectionID returns a connection ID that was not issued before.
func (g *generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var random [1]byte
	_, _ = rand.Read(random[:])
	keys := g.config.Keys.Ring().Active()
	id := wire.EncodeConnectionID(keys, g.config.Service, g.config.Self, g.nonce.Add(1), random[0])
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of every connection ID.
func (g *generator) ConnectionIDLen() int { return wire.ConnectionIDSize }
