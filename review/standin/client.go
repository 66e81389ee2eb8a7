package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// requestTimeout is the deadline of a request.
	requestTimeout = 2500 * time.Millisecond
	// A node that misses maxMisses probes is out of rotation.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// requestID returns the X-Request-Id of a request or response.
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, "X-Request-Id: ")
	name, _, _ := strings.Cut(rest, "\r\n")
	return name
}

// router stands in for the platform's routers: it sends each packet of a client to a front
// node that a hash of the flow selects among those in rotation.
type router struct {
	world *world
	conn  *net.UDPConn
	mutex sync.Mutex
	nodes []*routerNode
}

type routerNode struct {
	host   netip.Addr
	misses int
	ready  bool
}

func (w *world) startRouter() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.host(4, 1), 0)))
	if err != nil {
		return err
	}
	w.router = &router{world: w, conn: conn}
	return nil
}

// setNodes replaces the front nodes that the platform has.
func (r *router) setNodes(hosts ...netip.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var nodes []*routerNode
	for _, host := range hosts {
		var node *routerNode
		for _, old := range r.nodes {
			if old.host == host {
				node = old
			}
		}
		if node == nil {
			node = &routerNode{host: host}
			go r.probe(node)
		}
		nodes = append(nodes, node)
	}
	r.nodes = nodes
}

// probe asks a node twice a second whether it is ready.
func (r *router) probe(node *routerNode) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	time.Sleep(rand.N(probeInterval))
	for ; ; time.Sleep(probeInterval) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/orioledyke/ready", node.host, r.world.ports.ready))
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mutex.Lock()
		if node.misses++; ok {
			node.misses = 0
		}
		node.ready = ok || (node.ready && node.misses < maxMisses)
		r.mutex.Unlock()
	}
}

// forward sends a client's packet to a front node, and returns the node.
func (r *router) forward(p packet) netip.Addr {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var ready []netip.Addr
	for _, node := range r.nodes {
		if node.ready {
			ready = append(ready, node.host)
		}
	}
	if 2*len(ready) < len(r.nodes) {
		ready = ready[:0]
		for _, node := range r.nodes {
			ready = append(ready, node.host)
		}
	}
	if len(ready) == 0 {
		return netip.Addr{}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(p.src.String() + p.dst.String()))
	node := ready[int(hash.Sum32()>>3)%len(ready)]
	_, _ = r.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(node, r.world.ports.packets))
	return node
}

// client stands in for the clients at one address.
type client struct {
	world *world
	host  netip.Addr
	conn  *net.UDPConn
	mutex sync.Mutex
	flows map[flowID]*clientFlow
}

// clientFlow is a flow of a client. It carries one request at a time.
type clientFlow struct {
	client         *client
	id             flowID
	seq, serverSeq uint32
	// request is the name of the request that waits for its response, "" if none does.
	request      string
	sentAt       time.Time
	opened, over bool
	// node is the front machine that took the last packet.
	node netip.Addr
	// answered is when the last response came.
	answered time.Time
}

func (w *world) startClient(host netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, w.ports.packets)))
	if err != nil {
		return nil, err
	}
	c := &client{world: w, host: host, conn: conn, flows: map[flowID]*clientFlow{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := decode(bytes.Clone(buffer[:n]))
		if err != nil {
			continue
		}
		c.mutex.Lock()
		if f := c.flows[flowID{client: p.dst, service: p.src}]; f != nil {
			f.handle(p)
		}
		c.mutex.Unlock()
	}
}

// open opens a flow and sends a first request on it.
func (c *client) open(port uint16, service netip.AddrPort) *clientFlow {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f := &clientFlow{client: c, id: flowID{client: netip.AddrPortFrom(c.host, port), service: service}, seq: rand.Uint32()}
	c.flows[f.id] = f
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(at, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if !f.opened && !f.over {
				c.world.router.forward(packet{flags: flagSYN, seq: f.seq, ack: uint32(i), src: f.id.client, dst: f.id.service})
			}
		})
	}
	time.AfterFunc(1400*time.Millisecond, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if !f.opened && !f.over {
			f.over = true
			c.world.record("client %s: flow did not open", f.id.client)
		}
	})
	f.request = c.world.nextRequest()
	return f
}

// ask sends a request on an open flow. It returns false if the flow has ended or another
// request waits.
func (f *clientFlow) ask() bool {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if !f.opened || f.over || f.request != "" {
		return false
	}
	f.request = f.client.world.nextRequest()
	f.sendRequest()
	return true
}

// sendRequest sends the current request until it is answered. The caller holds the mutex.
func (f *clientFlow) sendRequest() {
	f.sentAt = time.Now()
	name := f.request
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\n\r\n", name)
	seq := f.seq + 1
	var transmit func(interval time.Duration)
	transmit = func(interval time.Duration) {
		if f.over || f.request != name {
			return
		}
		if time.Since(f.sentAt) > requestTimeout {
			f.over = true
			f.client.world.record("client %s: no answer to %s in time", f.id.client, name)
			return
		}
		f.node = f.client.world.router.forward(packet{flags: flagACK, seq: seq, ack: f.serverSeq, src: f.id.client, dst: f.id.service, data: data})
		f.client.world.record("client %s: sends %s through %s", f.id.client, name, f.node)
		time.AfterFunc(interval, func() {
			f.client.mutex.Lock()
			defer f.client.mutex.Unlock()
			transmit(min(2*interval, 1600*time.Millisecond))
		})
	}
	transmit(200 * time.Millisecond)
}

// handle handles a packet for the client. The caller holds the mutex.
func (f *clientFlow) handle(p packet) {
	if f.over {
		return
	}
	world := f.client.world
	switch {
	case p.has(flagRST):
		if f.opened && p.seq-f.serverSeq+resetReach > 2*resetReach {
			return
		}
		f.over = true
		world.wasReset(f, p.sum == 0)
	case p.has(flagSYN):
		if !f.opened {
			f.opened, f.serverSeq = true, p.seq+1
			f.sendRequest()
		}
	case len(p.data) > 0:
		if p.seq == f.serverSeq {
			f.serverSeq += uint32(len(p.data))
		}
		f.node = f.client.world.router.forward(packet{flags: flagACK, seq: f.seq + 1, ack: f.serverSeq, src: f.id.client, dst: f.id.service})
		name := requestID(string(p.data))
		if name == f.request && name != "" {
			f.seq = p.ack - 1
			f.request, f.answered = "", time.Now()
			world.answered(f, name)
		}
	}
}
