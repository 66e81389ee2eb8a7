package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// maxDials is the maximum number of concurrent dials. It keeps a surge of streams
	// from overflowing the listen queue of the upstream.
	maxDials = 16
	// The TCP keep-alive detects a dead connection after the idle time and 3 intervals,
	// which is 4 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// conn counts its writes. The count shows whether a request may have reached the
// upstream.
type conn struct {
	net.Conn
	writes atomic.Uint64
}

// Write counts before it writes. So if the count is unchanged after Close has returned,
// nothing was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// newDialer returns a dial function that returns connections of type *conn.
func newDialer() func(context.Context, string, string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	dialSlots := make(chan struct{}, maxDials)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case dialSlots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		defer func() { <-dialSlots }()
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
