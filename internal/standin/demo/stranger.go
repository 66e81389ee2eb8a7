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
	strangerDatagrams = 20
	strangerPayload   = 200
	strangerTimeout   = 2 * time.Second
	// strangerRevision is far above every real one.
	strangerRevision = 1 << 40
	strangerWeight   = 16

	balancerInvalid = `orioledyke_balancer_invalid_tunnel_datagrams_total`
	sidecarInvalid  = `orioledyke_sidecar_tunnel_datagrams_total{outcome="invalid"}`
)

// stranger is a party with a key ring of its own, which accepts every peer.
type stranger struct {
	id      identity.OwnerID
	ring    *keyring.Ring
	tls     *tls.Config
	verdict strangerVerdict
}

// newStranger uses the number of the active generation, so that only the secret
// is wrong.
func newStranger(ringFile string) (*stranger, error) {
	own, err := keyring.Load(ringFile)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	secret := make([]byte, keyring.SecretSize)
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(secret)
	number := own.Active().Generation()
	ring, err := keyring.New(number, map[keyring.Generation][]byte{number: secret})
	if err != nil {
		return nil, oops.Wrap(err)
	}
	config := keyring.NewStore(ring).TLS("h2")
	config.VerifyPeerCertificate = nil
	return &stranger{id: identity.NewOwnerID(), ring: ring, tls: config}, nil
}

// beStranger sends datagrams to every tunnel port and calls every control port
// with the wrong key ring, and notes what that achieved.
func (p *proof) beStranger(ctx context.Context) error {
	s, err := newStranger(p.files.keyRing())
	if err != nil {
		return err
	}
	for _, b := range p.layout.balancers {
		if err := s.attackTunnel(ctx, b, balancerInvalid); err != nil {
			return err
		}
		s.attackControl(ctx, b)
	}
	for _, u := range p.current {
		if err := s.attackTunnel(ctx, u.host, sidecarInvalid); err != nil {
			return err
		}
		s.attackHandOff(ctx, u.host)
	}
	for _, b := range p.layout.balancers {
		if err := p.inspect(ctx, s, b); err != nil {
			return err
		}
	}
	p.evidence.stranger = s.verdict
	p.step("stranger: %+v", s.verdict)
	return nil
}

// attackTunnel sends well-formed datagrams that only the key ring gives away.
func (s *stranger) attackTunnel(ctx context.Context, h host, metric string) error {
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
	for i := range strangerDatagrams {
		header := tunnel.Header{
			Type: tunnel.Type(1 + i%5), Service: identity.NewServiceID(customer, "grower-portal"),
			Owner: identity.NewOwnerID(), Client: netip.MustParseAddrPort("127.0.0.1:9"),
		}
		buffer := make([]byte, tunnel.Overhead+strangerPayload)
		if _, err := conn.Write(sealer.Seal(s.ring.Active(), header, buffer, strangerPayload)); err != nil {
			return oops.Wrap(err)
		}
		s.verdict.datagrams++
	}
	for deadline := time.Now().Add(strangerTimeout); time.Now().Before(deadline); {
		after, err := readMetric(ctx, h, metric)
		if err != nil {
			return err
		}
		if after-before >= strangerDatagrams {
			return nil
		}
		if err := sleep(ctx, watchPeriod); err != nil {
			return err
		}
	}
	s.verdict.unseen++
	return nil
}

// attackControl tries to read, to announce a sidecar and to publish a contract.
func (s *stranger) attackControl(ctx context.Context, b host) {
	ctx, cancel := context.WithTimeout(ctx, strangerTimeout)
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
				Customer: customer, Revision: strangerRevision, Document: []byte(`{"revision":1099511627776,"change-id":"x","deleted":true}`),
			}},
		})
		if _, err := stream.Recv(); err == nil {
			s.verdict.answered++
		}
	}
}

func (s *stranger) member(b host, role controlpb.Role) *controlpb.Member {
	return &controlpb.Member{
		Id: uint64(s.id), Version: 1, Role: role, State: controlpb.State_STATE_SERVING, DataCentre: b.dataCentre, Host: "stranger",
		Tunnel: "127.0.0.1:9", Control: "127.0.0.1:9", Customer: customer, Service: "grower-portal", Weight: strangerWeight,
	}
}

// attackHandOff tries to hand a request to a sidecar.
func (s *stranger) attackHandOff(ctx context.Context, h host) {
	ctx, cancel := context.WithTimeout(ctx, strangerTimeout)
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

// inspect looks with the right key ring for what the stranger left.
func (p *proof) inspect(ctx context.Context, s *stranger, b host) error {
	ctx, cancel := context.WithTimeout(ctx, strangerTimeout)
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
		return oops.Errorf("%s shows no members", b.name)
	}
	for _, m := range status.GetMembers() {
		if m.GetId() == uint64(s.id) {
			s.verdict.announced++
		}
	}
	for _, c := range status.GetContracts() {
		if c.GetRevision() >= strangerRevision {
			s.verdict.changed++
		}
	}
	return nil
}

// readMetric returns the value of a counter in a process's metrics.
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
