package main

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const openTimeout = 1400 * time.Millisecond

var errReset = errors.New("reset")

// client is a client host. It sends and receives packets of many flows at one address.
type client struct {
	bed   *bed
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn
	mutex sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a flow as its client sees it.
type clientFlow struct {
	client        *client
	src, dst      netip.AddrPort
	next          uint32
	received      uint32
	opened        bool
	input         []byte
	endpoint      string
	unacked       *packet
	resetBySystem bool
	ended         bool
	changed       chan struct{}
}

func (b *bed) addClient(zone string) (*client, error) {
	c := &client{bed: b, zone: zone, ip: b.ip(3, len(b.clients)+1), flows: map[uint16]*clientFlow{}, port: 40000}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, b.port(portPackets))))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	b.clients = append(b.clients, c)
	go c.receive()
	return c, nil
}

func (c *client) send(p packet) {
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.dst)
	front := c.bed.route(c.zone, h.Sum32())
	to := netip.AddrPortFrom(front.ip, c.bed.port(portPackets))
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(c.bed.key), to)
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			c.bed.log("client %s: datagram that is no packet", c.ip)
			continue
		}
		c.mutex.Lock()
		if f := c.flows[p.dst.Port()]; f != nil && f.dst == p.src {
			f.handle(p, genuine(buffer[:n], c.bed.key))
		} else {
			c.bed.log("client %s: packet for no flow from %s to %s", c.ip, p.src, p.dst)
		}
		c.mutex.Unlock()
	}
}

func (f *clientFlow) String() string { return f.src.String() + ">" + f.dst.String() }

func (f *clientFlow) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// handle handles a packet for the flow. genuine is set if the other end wrote it as it is.
func (f *clientFlow) handle(p packet, genuine bool) {
	b := f.client.bed
	if p.flags&flagReset != 0 {
		switch distance := int32(p.seq - f.received); {
		case genuine:
			b.log("client: reset of the endpoint on %s", f)
			f.ended = true
		case p.sum != 0 || len(p.data) > 0:
			b.log("client: MIXED packet on %s: a reset that nobody may write so", f)
		case f.opened && (distance > resetWindow || distance < -resetWindow):
			b.log("client: reset of the system on %s with seq %d outside of the window is ignored", f, p.seq)
		default:
			b.log("client: RESET of the system on %s, open=%t", f, f.opened)
			f.resetBySystem, f.ended = true, true
		}
		f.notify()
		return
	}
	if !genuine {
		b.log("client: MIXED packet on %s", f)
		return
	}
	if p.flags&flagSyn != 0 {
		if !f.opened {
			f.opened, f.received = true, p.seq+1
			f.next++
			f.notify()
		}
		return
	}
	if !f.opened {
		return
	}
	if f.unacked != nil && int32(p.ack-f.unacked.seq-uint32(len(f.unacked.data))) >= 0 {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			f.input = append(f.input, p.data...)
		}
		f.client.send(packet{flags: flagAck, seq: f.next, ack: f.received, src: f.src, dst: f.dst})
	}
	f.notify()
}

// wait waits for a change of the flow. The client's mutex is locked, and released meanwhile.
func (f *clientFlow) wait(until time.Time) {
	changed := f.changed
	f.client.mutex.Unlock()
	timer := time.NewTimer(time.Until(until))
	select {
	case <-changed:
	case <-timer.C:
	}
	timer.Stop()
	f.client.mutex.Lock()
}

// open opens a flow to an address of the platform.
func (c *client) open(dst netip.AddrPort) (*clientFlow, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.port++
	f := &clientFlow{client: c, src: netip.AddrPortFrom(c.ip, c.port), dst: dst, next: rand.Uint32(), changed: make(chan struct{})}
	c.flows[c.port] = f
	started := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		for !f.opened && !f.ended && time.Since(started) < at {
			f.wait(started.Add(at))
		}
		switch {
		case f.ended:
			return nil, errReset
		case f.opened:
			c.send(packet{flags: flagAck, seq: f.next, ack: f.received, src: f.src, dst: f.dst})
			return f, nil
		case at < openTimeout:
			c.send(packet{flags: flagSyn, seq: f.next, ack: uint32(i), src: f.src, dst: f.dst})
		}
	}
	return nil, errors.New("no answer")
}

// request sends a request on the flow and waits for its answer.
func (f *clientFlow) request(id string, timeout time.Duration) error {
	c := f.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	data := []byte("GET / HTTP/1.1\r\nHost: " + f.dst.String() + "\r\nX-Request-Id: " + id + "\r\n\r\n")
	p := packet{flags: flagAck, seq: f.next, ack: f.received, src: f.src, dst: f.dst, data: data}
	f.next += uint32(len(data))
	f.unacked, f.input = &p, nil
	c.bed.log("client: %s sent on %s", id, f)
	deadline, wait := time.Now().Add(timeout), firstRetransmit
	c.send(p)
	resend := time.Now().Add(wait)
	for {
		if body, whole := f.answer(); whole {
			c.bed.log("client: %s answered on %s: %s", id, f, body)
			if !strings.HasPrefix(body, "answer to "+id+" of ") {
				return fmt.Errorf("foreign answer %q", body)
			}
			f.endpoint = body[strings.LastIndex(body, " ")+1:]
			return nil
		}
		if f.ended {
			c.bed.log("client: %s ended by a reset on %s", id, f)
			return errReset
		}
		now := time.Now()
		if now.After(deadline) {
			c.bed.log("client: %s without answer on %s", id, f)
			return errors.New("no answer")
		}
		if f.unacked != nil && !now.Before(resend) {
			c.send(p)
			wait = min(2*wait, lastRetransmit)
			resend = now.Add(wait)
		}
		until := deadline
		if f.unacked != nil && resend.Before(until) {
			until = resend
		}
		f.wait(until)
	}
}

// answer returns the body of the answer that has arrived, if it is whole.
func (f *clientFlow) answer() (string, bool) {
	head, body, found := bytes.Cut(f.input, []byte("\r\n\r\n"))
	if !found {
		return "", false
	}
	_, rest, _ := strings.Cut(string(head), "Content-Length: ")
	line, _, _ := strings.Cut(rest, "\r\n")
	length, err := strconv.Atoi(line)
	if err != nil || len(body) < length {
		return "", false
	}
	return string(body[:length]), true
}

// close closes the flow at both ends.
func (f *clientFlow) close() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if !f.ended {
		f.client.send(packet{flags: flagAck | flagFinal, seq: f.next, ack: f.received, src: f.src, dst: f.dst})
		f.ended = true
	}
}
