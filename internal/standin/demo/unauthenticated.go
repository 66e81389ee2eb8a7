package demo

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

const (
	forgedDatagrams   = 20
	forgedPayloadSize = 200
	attackTimeout     = 2 * time.Second
	// forgedRevision is far above every real revision.
	forgedRevision = 1 << 40
	forgedWeight   = 16

	balancerInvalidMetric = `orioledyke_balancer_invalid_tunnel_datagrams_total`
	sidecarInvalidMetric  = `orioledyke_sidecar_tunnel_datagrams_total{outcome="invalid"}`
)

// unauthenticatedPeer has a key ring of its own and accepts the certificate of
// every peer.
type unauthenticatedPeer struct {
	id      identity.OwnerID
	ring    *keyring.Ring
	tls     *tls.Config
	verdict unauthenticatedVerdict
}

// newUnauthenticatedPeer gives the peer a key ring with the number of the active
// generation, so that only the secret is wrong.
func newUnauthenticatedPeer(ringFile string) (*unauthenticatedPeer, error) {
	own, err := keyring.Load(ringFile)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	secret := make([]byte, keyring.SecretSize)
	// Since Go 1.24, crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	number := own.Active().Generation()
	ring, err := keyring.New(number, map[keyring.Generation][]byte{number: secret})
	if err != nil {
		return nil, oops.Wrap(err)
	}
	config := keyring.NewStore(ring).TLS("h2")
	config.VerifyPeerCertificate = nil
	return &unauthenticatedPeer{id: identity.NewOwnerID(), ring: ring, tls: config}, nil
}

// attackAsUnauthenticatedPeer sends datagrams to every tunnel port and connects to
// every control port with the wrong key ring. It records what this achieved.
func (p *proof) attackAsUnauthenticatedPeer(ctx context.Context) error {
	s, err := newUnauthenticatedPeer(p.files.keyRing())
	if err != nil {
		return err
	}
	for _, b := range p.layout.balancers {
		if err := s.attackTunnel(ctx, b, balancerInvalidMetric); err != nil {
			return err
		}
		s.attackControl(ctx, b)
	}
	for _, u := range p.current {
		if err := s.attackTunnel(ctx, u.host, sidecarInvalidMetric); err != nil {
			return err
		}
		s.attackHandOff(ctx, u.host)
	}
	for _, b := range p.layout.balancers {
		if err := p.inspectBalancer(ctx, s, b); err != nil {
			return err
		}
	}
	p.evidence.unauthenticated = s.verdict
	p.step("unauthenticated peer: %+v", s.verdict)
	return nil
}

// attackTunnel sends well-formed datagrams that are sealed with the wrong key.
func (s *unauthenticatedPeer) attackTunnel(ctx context.Context, h host, metric string) error {
	before, err := readMetric(ctx, h, metric)
	if err != nil {
		return err
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(h.tunnel))
	if err != nil {
		return oops.Wrap(err)
	}
	defer conn.Close()
	sealer := tunnel.NewSealer(s.id)
	for i := range forgedDatagrams {
		header := tunnel.Header{
			Type: tunnel.Type(1 + i%5), Service: identity.NewServiceID(customer, "grower-portal"),
			Owner: identity.NewOwnerID(), Client: netip.MustParseAddrPort("127.0.0.1:9"),
		}
		buffer := make([]byte, tunnel.Overhead+forgedPayloadSize)
		if _, err := conn.Write(sealer.Seal(s.ring.Active(), header, buffer, forgedPayloadSize)); err != nil {
			return oops.Wrap(err)
		}
		s.verdict.datagrams++
	}
	for deadline := time.Now().Add(attackTimeout); time.Now().Before(deadline); {
		after, err := readMetric(ctx, h, metric)
		if err != nil {
			return err
		}
		if after-before >= forgedDatagrams {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	s.verdict.unseen++
	return nil
}

// attackControl tries to read the status, to announce a sidecar and to publish a
// contract.
func (s *unauthenticatedPeer) attackControl(ctx context.Context, b host) {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+b.control.String(), grpc.WithTransportCredentials(credentials.NewTLS(s.tls)))
	if err != nil {
		return
	}
	defer conn.Close()
	control := controlpb.NewControlClient(conn)
	s.verdict.connections += 3
	if _, err := control.Status(ctx, &controlpb.StatusRequest{}); err == nil {
		s.verdict.answered++
	}
	if stream, err := control.Announce(ctx); err == nil {
		_ = stream.Send(&controlpb.AnnounceRequest{Member: s.member(b, controlpb.Role_ROLE_SIDECAR)})
		if _, err := stream.Recv(); err == nil {
			s.verdict.answered++
		}
	}
	if stream, err := control.Sync(ctx); err == nil {
		_ = stream.Send(&controlpb.SyncMessage{
			Self:    s.member(b, controlpb.Role_ROLE_BALANCER),
			Members: []*controlpb.Member{s.member(b, controlpb.Role_ROLE_SIDECAR)},
			Contracts: []*controlpb.Contract{{
				Customer: customer, Revision: forgedRevision, Document: []byte(`{"revision":1099511627776,"change-id":"x","deleted":true}`),
			}},
		})
		if _, err := stream.Recv(); err == nil {
			s.verdict.answered++
		}
	}
}

func (s *unauthenticatedPeer) member(b host, role controlpb.Role) *controlpb.Member {
	return &controlpb.Member{
		Id: uint64(s.id), Version: 1, Role: role, State: controlpb.State_STATE_SERVING, DataCentre: b.dataCentre, Host: "stranger",
		Tunnel: "127.0.0.1:9", Control: "127.0.0.1:9", Customer: customer, Service: "grower-portal", Weight: forgedWeight,
	}
}

// attackHandOff tries to hand a request off to a sidecar.
func (s *unauthenticatedPeer) attackHandOff(ctx context.Context, h host) {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	transport := &http.Transport{TLSClientConfig: s.tls, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	s.verdict.connections++
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+h.control.String()+"/bookings", strings.NewReader(`{"number":1}`))
	if err != nil {
		return
	}
	response, err := transport.RoundTrip(r)
	if err == nil {
		s.verdict.answered++
		_ = response.Body.Close()
	}
}

// inspectBalancer uses the right key ring to look for the effects of the attack.
func (p *proof) inspectBalancer(ctx context.Context, s *unauthenticatedPeer, b host) error {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	ring, err := keyring.Load(p.files.keyRing())
	if err != nil {
		return oops.Wrap(err)
	}
	status, err := peer.Status(ctx, keyring.NewStore(ring), b.control)
	if err != nil {
		return oops.Wrap(err)
	}
	if len(status.GetMembers()) == 0 {
		return oops.Errorf("%s reports no members", b.name)
	}
	for _, m := range status.GetMembers() {
		if m.GetId() == uint64(s.id) {
			s.verdict.announced++
		}
	}
	for _, c := range status.GetContracts() {
		if c.GetRevision() >= forgedRevision {
			s.verdict.changed++
		}
	}
	return nil
}

// readMetric returns the value of a counter in the metrics of a process.
func readMetric(ctx context.Context, h host, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.observe.String()+"/metrics", nil)
	if err != nil {
		return 0, oops.Wrap(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, oops.Wrap(err)
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, oops.Errorf("%s has no metric %s", h.name, name)
}
