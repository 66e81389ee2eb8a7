package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/stall"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// peerTimeout limits the time to the start of a peer's response, and then the time in
	// which nothing of it arrives. maxPeerTransferTime limits the whole request.
	peerTimeout         clock.Millis = 500
	maxPeerTransferTime              = 4 * clock.Second
	// maxConfigurationSize limits the configuration that a peer may send, in bytes.
	maxConfigurationSize = 4 << 20

	configurationPath = "/configuration"
)

// requestFetch wakes serveFetches if the configuration is to be fetched from a peer now.
func (n *balancerNode) requestFetch(now clock.Millis) {
	if _, due := n.versions.Next(now); !due {
		return
	}
	select {
	case n.fetchDue <- struct{}{}:
	default:
	}
}

// serveFetches fetches the configuration from a peer whenever that is due. The peer is
// selected when the fetch begins, because the configuration may have arrived meanwhile.
func (n *balancerNode) serveFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.fetchDue:
		}
		n.mutex.Lock()
		fetch, due := n.versions.Next(n.clock.Now())
		n.mutex.Unlock()
		if due {
			n.fetchConfiguration(ctx, fetch)
		}
	}
}

// fetchConfiguration fetches the configuration of a peer and puts it into effect if it is
// newer.
func (n *balancerNode) fetchConfiguration(ctx context.Context, fetch configuration.Fetch) {
	address := netip.AddrPortFrom(fetch.Peer, n.settings.RelayAddress.Port())
	content, header, err := n.get(ctx, "http://"+address.String()+configurationPath)
	if err == nil {
		n.mergeHeader(header)
		err = n.applyConfiguration(sourcePeer, content)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.versions.Ended(n.clock.Now(), fetch)
	if current := n.machine.Table().Version(); err == nil && current < fetch.Version {
		err = oops.Errorf("peer reported version %d and sent at most version %d", fetch.Version, current)
	}
	if err != nil {
		n.logger.Warn("peer-configuration-failed", zap.Stringer("balancer", fetch.Peer), zap.Error(err))
	}
}

func (n *balancerNode) get(ctx context.Context, url string) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPeerTransferTime.Duration())
	defer cancel()
	ctx, guard := stall.Watch(ctx, peerTimeout, peerTimeout)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := n.httpClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, nil, oops.Errorf("status %d", response.StatusCode)
	}
	guard.Progress()
	content, err := io.ReadAll(io.LimitReader(guard.Reader(response.Body), maxConfigurationSize))
	return content, response.Header, err
}

// serveConfiguration responds to a peer with the configuration in effect, or with 404 if
// there is none, and with the known evacuations, if any.
func (n *balancerNode) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	n.mutex.Lock()
	table, evacuations := n.machine.Table(), n.evacuationsHeader()
	n.mutex.Unlock()
	if r.URL.Path != configurationPath || table == nil {
		http.NotFound(w, r)
		return
	}
	if evacuations != "" {
		w.Header().Set(evacuationsHeader, evacuations)
	}
	content := table.Document()
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		compressed, err := n.compressed.get(table)
		if err != nil {
			n.logger.Error("configuration-not-compressed", zap.Error(err))
			http.Error(w, "compression failed", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		content = compressed
	}
	// If the write fails, the peer's fetch fails. The peer tries again after a later
	// digest.
	_, _ = w.Write(content)
}

// compressedConfiguration caches the compressed document of one version. A configuration
// of 1,300 routes shrinks to about a tenth, which matters to hosts that start on slow links.
type compressedConfiguration struct {
	mutex   sync.Mutex
	version uint64
	content []byte
}

func (c *compressedConfiguration) get(table *route.Table) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.content != nil && c.version == table.Version() {
		return c.content, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(table.Document()); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	c.version, c.content = table.Version(), buffer.Bytes()
	return c.content, nil
}
