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

// unauthenticatedPeer does not have the key ring of the system but one of its own.
// It accepts the certificate of every peer.
type unauthenticatedPeer struct {
	id      identity.OwnerID
	ring    *keyring.Ring
	tls     *tls.Config
	verdict attackCounts
}

// newUnauthenticatedPeer creates a peer whose key ring has one generation with a
// random secret. The number of this generation equals that of the active generation
// in the system's key ring file, so that only the secret is wrong.
func newUnauthenticatedPeer(ringFile string) (*unauthenticatedPeer, error) {
	systemRing, err := keyring.Load(ringFile)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	secret := make([]byte, keyring.SecretSize)
	// Since Go 1.24, crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	number := systemRing.Active().Generation()
	ring, err := keyring.New(number, map[keyring.Generation][]byte{number: secret})
	if err != nil {
		return nil, oops.Wrap(err)
	}
	config := keyring.NewStore(ring).TLS("h2")
	config.VerifyPeerCertificate = nil
	return &unauthenticatedPeer{id: identity.NewOwnerID(), ring: ring, tls: config}, nil
}

// attackAsUnauthenticatedPeer sends datagrams to every tunnel port and connects to
// every control port with the wrong key ring. It records how many attempts
// were accepted.
func (p *proof) attackAsUnauthenticatedPeer(ctx context.Context) error {
	attacker, err := newUnauthenticatedPeer(p.files.keyRing())
	if err != nil {
		return err
	}
	for _, b := range p.layout.balancers {
		if err := attacker.attackTunnel(ctx, b, balancerInvalidMetric); err != nil {
			return err
		}
		attacker.attackControl(ctx, b)
	}
	for _, u := range p.current {
		if err := attacker.attackTunnel(ctx, u.host, sidecarInvalidMetric); err != nil {
			return err
		}
		attacker.attackHandOff(ctx, u.host)
	}
	for _, b := range p.layout.balancers {
		if err := p.inspectBalancer(ctx, attacker, b); err != nil {
			return err
		}
	}
	p.evidence.unauthenticated = attacker.verdict
	p.step("unauthenticated peer: %+v", attacker.verdict)
	return nil
}

// attackTunnel sends well-formed datagrams that are sealed with the wrong key. It
// then waits until the process has counted them as invalid, for attackTimeout at
// most.
func (attacker *unauthenticatedPeer) attackTunnel(ctx context.Context, h host, metric string) error {
	before, err := readMetric(ctx, h, metric)
	if err != nil {
		return err
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(h.tunnel))
	if err != nil {
		return oops.Wrap(err)
	}
	defer conn.Close()
	sealer := tunnel.NewSealer(attacker.id)
	for i := range forgedDatagrams {
		header := tunnel.Header{
			Type: tunnel.Type(1 + i%5), Service: identity.NewServiceID(customer, "grower-portal"),
			Owner: identity.NewOwnerID(), Client: netip.MustParseAddrPort("127.0.0.1:9"),
		}
		buffer := make([]byte, tunnel.Overhead+forgedPayloadSize)
		if _, err := conn.Write(sealer.Seal(attacker.ring.Active(), header, buffer, forgedPayloadSize)); err != nil {
			return oops.Wrap(err)
		}
		attacker.verdict.datagrams++
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
	attacker.verdict.unseen++
	return nil
}

// attackControl tries to read the status, to announce a sidecar and to publish a
// contract.
func (attacker *unauthenticatedPeer) attackControl(ctx context.Context, b host) {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+b.control.String(), grpc.WithTransportCredentials(credentials.NewTLS(attacker.tls)))
	if err != nil {
		return
	}
	defer conn.Close()
	control := controlpb.NewControlClient(conn)
	attacker.verdict.connections += 3
	if _, err := control.Status(ctx, &controlpb.StatusRequest{}); err == nil {
		attacker.verdict.answered++
	}
	if stream, err := control.Announce(ctx); err == nil {
		_ = stream.Send(&controlpb.AnnounceRequest{Member: attacker.member(b, controlpb.Role_ROLE_SIDECAR)})
		if _, err := stream.Recv(); err == nil {
			attacker.verdict.answered++
		}
	}
	if stream, err := control.Sync(ctx); err == nil {
		_ = stream.Send(&controlpb.SyncMessage{
			Self:    attacker.member(b, controlpb.Role_ROLE_BALANCER),
			Members: []*controlpb.Member{attacker.member(b, controlpb.Role_ROLE_SIDECAR)},
			Contracts: []*controlpb.Contract{{
				Customer: customer, Revision: forgedRevision, Document: []byte(`{"revision":1099511627776,"change-id":"x","deleted":true}`),
			}},
		})
		if _, err := stream.Recv(); err == nil {
			attacker.verdict.answered++
		}
	}
}

func (attacker *unauthenticatedPeer) member(b host, role controlpb.Role) *controlpb.Member {
	return &controlpb.Member{
		Id: uint64(attacker.id), Version: 1, Role: role, State: controlpb.State_STATE_SERVING, DataCentre: b.dataCentre, Host: "stranger",
		Tunnel: "127.0.0.1:9", Control: "127.0.0.1:9", Customer: customer, Service: "grower-portal", Weight: forgedWeight,
	}
}

// attackHandOff tries to hand a request off to a sidecar.
func (attacker *unauthenticatedPeer) attackHandOff(ctx context.Context, h host) {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	transport := &http.Transport{TLSClientConfig: attacker.tls, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	attacker.verdict.connections++
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+h.control.String()+"/bookings", strings.NewReader(`{"number":1}`))
	if err != nil {
		return
	}
	response, err := transport.RoundTrip(r)
	if err == nil {
		attacker.verdict.answered++
		_ = response.Body.Close()
	}
}

// inspectBalancer uses the key ring of the system to look for effects of the attack
// in the status of a balancer.
func (p *proof) inspectBalancer(ctx context.Context, attacker *unauthenticatedPeer, b host) error {
	ctx, cancel := context.WithTimeout(ctx, attackTimeout)
	defer cancel()
	systemRing, err := keyring.Load(p.files.keyRing())
	if err != nil {
		return oops.Wrap(err)
	}
	status, err := peer.Status(ctx, keyring.NewStore(systemRing), b.control)
	if err != nil {
		return oops.Wrap(err)
	}
	if len(status.GetMembers()) == 0 {
		return oops.Errorf("%s reports no members", b.name)
	}
	for _, m := range status.GetMembers() {
		if m.GetId() == uint64(attacker.id) {
			attacker.verdict.announced++
		}
	}
	for _, c := range status.GetContracts() {
		if c.GetRevision() >= forgedRevision {
			attacker.verdict.changed++
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
