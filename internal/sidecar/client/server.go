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
	// idleTimeout ends a flow whose client is silent. It is long because clients are
	// phones, which lose coverage for some seconds.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is well below the 30 s after which NAT devices on the path drop
	// the state of a silent flow.
	keepAlivePeriod = 5 * time.Second
	// packetSize is the size of QUIC packets in bytes. It leaves room for the tunnel
	// header and a relayed address within an Ethernet frame.
	packetSize = 1200
)

var errFull = oops.Code("flow-limit-reached").Errorf("the sidecar holds as many flows as the contract allows")

// ServerConfig configures a Server.
type ServerConfig struct {
	Conn    *Conn
	Self    identity.OwnerID
	Service identity.ServiceID
	Keys    *keyring.Store
	// Certificate returns the current certificate to present to clients.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	Handler     http.Handler
	// Full reports whether the sidecar holds as many flows as it may. While it does,
	// new flows are refused. A nil Full means no limit.
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

// NewServer returns a Server, which accepts flows when Serve is called.
func NewServer(config ServerConfig) (*Server, error) {
	s := &Server{conn: config.Conn}
	var resetKey quic.StatelessResetKey
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(resetKey[:])
	s.transport = &quic.Transport{
		Conn:                  config.Conn,
		ConnectionIDGenerator: &connectionIDGenerator{config: config},
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
	flowConfig := quicConfig.Clone()
	quicConfig.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if config.Full != nil && config.Full() {
			return nil, errFull
		}
		return flowConfig, nil
	}
	var err error
	if s.listener, err = s.transport.ListenEarly(tlsConfig, quicConfig); err != nil {
		return nil, oops.Code("quic-listen-failed").Wrap(err)
	}
	return s, nil
}

// Serve accepts flows until ctx ends or the server is closed, and then returns nil.
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
			// The error is the reason for which the client or the server closed the
			// flow. The request metrics show the consequences.
			_ = s.server.ServeQUICConn(conn)
			// ServeQUICConn returns at once for a new flow after Shutdown. Closing that
			// flow makes the client open another one, which is placed on a sibling.
			_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		}()
	}
}

// Flows returns the number of open flows.
func (s *Server) Flows() int { return int(s.flows.Load()) }

// Shutdown sends GOAWAY on every flow, so that clients send no new requests. Requests
// in progress continue. Shutdown returns when every client has closed its flow or
// when ctx ends, which closes all flows. A client without requests may never close
// its flow.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close closes all flows at once and notifies the clients. It also closes the Conn.
func (s *Server) Close() error {
	s.closed.Store(true)
	err := s.server.Close()
	// The transport waits for its reader, which returns only when the Conn is closed.
	return errors.Join(err, s.conn.Close(), s.transport.Close())
}

// connectionIDGenerator generates connection IDs that name this sidecar.
type connectionIDGenerator struct {
	config ServerConfig
	nonce  atomic.Uint64
}

// GenerateConnectionID returns a connection ID that it has not returned before.
func (g *connectionIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var random [1]byte
	_, _ = rand.Read(random[:])
	keys := g.config.Keys.Ring().Active()
	id := wire.EncodeConnectionID(keys, g.config.Service, g.config.Self, g.nonce.Add(1), random[0])
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of every connection ID.
func (g *connectionIDGenerator) ConnectionIDLen() int { return wire.ConnectionIDSize }
