package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// maxDials limits the connections that are being opened, so that a surge of
	// streams does not overflow the upstream's listen queue.
	maxDials = 16
	// keepAlive finds a dead connection in idle + 3 intervals, or 4 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// conn counts what is written, which tells whether a request can have reached
// the upstream.
type conn struct {
	net.Conn
	writes atomic.Uint64
}

// Write counts before it writes: once Close has returned, a count that is
// unchanged means that nothing was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func newDialer() func(context.Context, string, string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	dials := make(chan struct{}, maxDials)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case dials <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		defer func() { <-dials }()
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
