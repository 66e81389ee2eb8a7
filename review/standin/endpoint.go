package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 770 * time.Millisecond
	// heartbeatRetry is the time after which an endpoint repeats a heartbeat that failed.
	heartbeatRetry = 150 * time.Millisecond
	// defaultWorkTime is the time that an endpoint takes for a request.
	defaultWorkTime = 25 * time.Millisecond
	slots           = 5
	// maxSends is how often an endpoint sends a packet, with 8 retransmissions.
	maxSends = 9
)

// flowID is the client's and the platform's end of a flow.
type flowID struct{ client, service netip.AddrPort }

// endpointFlow is a flow at an endpoint.
type endpointFlow struct {
	first, next, expected uint32
	// acked is the position up to which the client has received the responses.
	acked        uint32
	open, closed bool
}

// endpoint stands in for an endpoint of a service, beside a node of the system.
type endpoint struct {
	world    *world
	id       string
	service  string
	host     netip.Addr
	born     int64
	conn     *net.UDPConn
	outbound netip.AddrPort
	health   *http.Server
	mutex    sync.Mutex
	sequence uint64
	stopped  bool
	// state is what the heartbeats say: ready or draining.
	state string
	flows map[flowID]*endpointFlow
}

func (w *world) startEndpoint(id, service string, host netip.Addr) (*endpoint, error) {
	e := &endpoint{
		world: w, id: id, service: service, host: host, born: time.Now().UnixMilli(), flows: map[flowID]*endpointFlow{},
		outbound: netip.AddrPortFrom(host, w.ports.outbound), state: "ready",
	}
	app := netip.AddrPortFrom(host, w.ports.app)
	var err error
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	e.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	go func() { _ = e.health.Serve(listener) }()
	go e.read()
	go e.sendHeartbeats()
	w.record("endpoint %s of %s starts at %s", id, service, app)
	return e, nil
}

func (e *endpoint) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mutex.Lock()
		e.sequence++
		body, err := json.Marshal(map[string]any{
			"service": e.service, "address": netip.AddrPortFrom(e.host, e.world.ports.app).String(), "zone": "zone-a", "version": "v1",
			"slots": slots, "state": e.state, "warmupLeftMs": 0, "seq": e.sequence, "born": e.born,
		})
		stopped := e.stopped
		e.mutex.Unlock()
		if err != nil || stopped {
			return
		}
		wait := heartbeatInterval
		url := fmt.Sprintf("http://%s:%d/orioledyke/instances/%s", e.host, e.world.ports.control, e.id)
		request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			wait = heartbeatRetry
		} else {
			_ = response.Body.Close()
		}
		time.Sleep(wait)
	}
}

func (e *endpoint) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := decode(bytes.Clone(buffer[:n]))
		if err == nil {
			e.mutex.Lock()
			e.handle(p)
			e.mutex.Unlock()
		}
	}
}

func (e *endpoint) send(raw []byte) { _, _ = e.conn.WriteToUDPAddrPort(raw, e.outbound) }

func (e *endpoint) reply(id flowID, f *endpointFlow, flags byte, seq uint32, data []byte) {
	e.send(packet{flags: flags, seq: seq, ack: f.expected, src: id.service, dst: id.client, data: data}.encode())
}

// handle handles a packet. The caller holds the mutex.
func (e *endpoint) handle(p packet) {
	id := flowID{client: p.src, service: p.dst}
	f := e.flows[id]
	if p.has(flagSYN) {
		if f == nil {
			first := rand.Uint32()
			f = &endpointFlow{first: first, next: first + 1, acked: first, expected: p.seq + 1}
			e.flows[id] = f
		}
		if !f.open {
			e.reply(id, f, flagSYN|flagACK, f.first, nil)
		}
		return
	}
	if f == nil || (!f.open && p.ack != f.first+1) {
		p.raw[0] |= flagBounced
		p.raw[1], p.raw[2], p.raw[3] = 0, 0, 0
		e.send(p.raw)
		return
	}
	if !f.open {
		f.open = true
		e.world.record("endpoint %s: flow %s open", e.id, id.client)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if p.has(flagFIN) {
		f.closed = true
		f.expected = p.seq + uint32(len(p.data)) + 1
		e.reply(id, f, flagFIN|flagACK, f.next, nil)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		// A retransmission of a request that has run: the response is on its way.
		e.reply(id, f, flagACK, f.next, nil)
		return
	}
	f.expected += uint32(len(p.data))
	e.reply(id, f, flagACK, f.next, nil)
	request := string(p.data)
	name := requestID(request)
	e.world.ran(e, name)
	time.AfterFunc(e.world.workTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		body := "done " + name
		data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, name, len(body), body)
		seq := f.next
		f.next += uint32(len(data))
		e.transmit(id, f, seq, data, 1, 200*time.Millisecond)
	})
}

// transmit sends a response until the client has acknowledged it. The caller holds the mutex.
func (e *endpoint) transmit(id flowID, f *endpointFlow, seq uint32, data []byte, sends int, interval time.Duration) {
	if e.stopped || sends > maxSends || int32(f.acked-seq) >= int32(len(data)) {
		return
	}
	e.reply(id, f, flagACK, seq, data)
	time.AfterFunc(interval, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.transmit(id, f, seq, data, sends+1, min(2*interval, 1600*time.Millisecond))
	})
}

// drain makes the endpoint say in its heartbeats that it leaves.
func (e *endpoint) drain() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.state = "draining"
	e.world.record("endpoint %s drains", e.id)
}

// leave deregisters the endpoint and ends it.
func (e *endpoint) leave() {
	url := fmt.Sprintf("http://%s:%d/orioledyke/instances/%s", e.host, e.world.ports.control, e.id)
	request, err := http.NewRequest(http.MethodDelete, url, strings.NewReader(fmt.Sprintf(`{"born":%d}`, e.born)))
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	e.world.record("endpoint %s ends", e.id)
	e.stop()
}

// holds reports whether the endpoint lives and has a flow open.
func (e *endpoint) holds(id flowID) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f := e.flows[id]
	return !e.stopped && f != nil && f.open && !f.closed
}

func (e *endpoint) stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopped = true
	_ = e.conn.Close()
	_ = e.health.Close()
}
