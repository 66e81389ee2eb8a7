package client_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	balancer "github.com/orioledyke/orioledyke/internal/balancer/client"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/standin/fabric"
	"github.com/quic-go/quic-go/http3"
)

var loopback = netip.MustParseAddr("127.0.0.1")

const (
	balancerCount = 3
	sidecarCount  = 4
	requestCount  = 40
)

func listen(c *qt.C) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	c.Assert(err, qt.IsNil)
	return conn
}

func freePort(c *qt.C) uint16 {
	conn := listen(c)
	defer conn.Close()
	return uint16(conn.LocalAddr().(*net.UDPAddr).Port)
}

func testCertificate(c *qt.C) *tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"localhost"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func testKeys(c *qt.C) *keyring.Store {
	ring, err := keyring.New(1, map[keyring.Generation][]byte{1: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	return keyring.NewStore(ring)
}

type sidecar struct {
	member routing.Member
	server *client.Server
}

func startSidecar(ctx context.Context, c *qt.C, keys *keyring.Store, service identity.ServiceID, certificate *tls.Certificate) sidecar {
	return startSidecarWith(ctx, c, keys, service, certificate, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}))
}

func startSidecarWith(ctx context.Context, c *qt.C, keys *keyring.Store, service identity.ServiceID, certificate *tls.Certificate, handler http.Handler) sidecar {
	self := identity.NewOwnerID()
	socket := listen(c)
	conn := client.NewConn(ctx, client.ConnConfig{
		Tunnel: socket, Self: self, Service: service, Keys: keys, Clock: clock.System(),
		Load:     func() client.Load { return client.Load{} },
		Siblings: func() map[identity.OwnerID]client.Load { return nil },
		Address:  func(identity.OwnerID) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
	})
	server, err := client.NewServer(client.ServerConfig{
		Conn: conn, Self: self, Service: service, Keys: keys,
		Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate, nil },
		Handler:     handler,
	})
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(ctx) }()
	return sidecar{server: server, member: routing.Member{
		Owner: self, Service: service, Weight: routing.MaxWeight, Tunnel: socket.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}
}

// TestRequestsSprayedOverBalancers guards against flows that depend on the balancer
// that forwarded their first packet. Successive packets of a flow go through different
// balancers, and one balancer stops while requests are in progress.
func TestRequestsSprayedOverBalancers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keys := testKeys(c)
	service := identity.NewServiceID("presa-digital", "grower-portal")
	certificate := testCertificate(c)
	table := routing.NewTable()
	for range sidecarCount {
		table = table.With([]routing.Member{startSidecar(ctx, c, keys, service, certificate).member}, nil)
	}
	var balancers []netip.AddrPort
	var stops []context.CancelFunc
	for range balancerCount {
		balancerCtx, stop := context.WithCancel(ctx)
		stops = append(stops, stop)
		f, err := balancer.NewForwarder(balancerCtx, balancer.Config{
			Entry: loopback, Tunnel: listen(c), Self: identity.NewOwnerID(), Keys: keys, Clock: clock.System(),
			LogEvent: func(string, error) {},
		})
		c.Assert(err, qt.IsNil)
		f.SetTable(table)
		port := freePort(c)
		c.Assert(f.SetServices(map[identity.ServiceID]balancer.Service{service: {Port: port}}), qt.IsNil)
		balancers = append(balancers, netip.AddrPortFrom(loopback, port))
	}
	sprayer, err := fabric.New(ctx, fabric.Config{Listen: netip.AddrPortFrom(loopback, 0), Balancers: balancers})
	c.Assert(err, qt.IsNil)

	pool := x509.NewCertPool()
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	c.Assert(err, qt.IsNil)
	pool.AddCert(leaf)
	var requests sync.WaitGroup
	bodies := make([]string, requestCount)
	for i := range requestCount {
		if i == requestCount/2 {
			stops[0]()
		}
		requests.Go(func() {
			transport := &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "localhost"}}
			defer transport.Close()
			url := fmt.Sprintf("https://%s/%d", sprayer.Address(), i)
			response, err := (&http.Client{Transport: transport}).Get(url)
			if err != nil {
				bodies[i] = err.Error()
				return
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			bodies[i] = string(body)
		})
	}
	requests.Wait()
	for i, body := range bodies {
		c.Check(body, qt.Equals, fmt.Sprintf("/%d ", i))
	}
}
