package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	// maxRetransmits is how often an endpoint sends a packet again before it gives up.
	maxRetransmits = 8
	beatTimeout    = time.Second
)

// endpoint is an endpoint of the platform, a process of its own.
type endpoint struct {
	app, outbound, control netip.AddrPort
	id, service, zone, key string
	beat, work             time.Duration
	idle                   time.Duration
	born                   int64
	conn                   *net.UDPConn
	mutex                  sync.Mutex
	flows                  map[netip.AddrPort]map[netip.AddrPort]*served
	state                  string
	seq                    uint64
}

// served is a flow at an endpoint.
type served struct {
	client, address netip.AddrPort
	isn, next       uint32
	received        uint32
	open            bool
	lastSeen        time.Time
	input           []byte
	// unacked holds the packets that the client has not acknowledged.
	unacked []packet
	// done ends the retransmissions.
	done chan struct{}
}

// runEndpoint runs an endpoint until its process is ended. It prints one line for each event.
func runEndpoint(args []string) error {
	var app, outbound, control string
	e := &endpoint{flows: map[netip.AddrPort]map[netip.AddrPort]*served{}, state: "ready", born: time.Now().UnixMilli(), seq: 1}
	flags := flag.NewFlagSet("endpoint", flag.ContinueOnError)
	flags.StringVar(&app, "app", "", "address of the endpoint")
	flags.StringVar(&outbound, "outbound", "", "address that takes the endpoint's packets")
	flags.StringVar(&control, "control", "", "address that takes heartbeats")
	flags.StringVar(&e.id, "id", "", "id")
	flags.StringVar(&e.service, "service", "", "service")
	flags.StringVar(&e.zone, "zone", "", "zone")
	flags.StringVar(&e.key, "key", "", "key of the packets' sum")
	flags.DurationVar(&e.beat, "beat", 1200*time.Millisecond, "time between heartbeats")
	flags.DurationVar(&e.work, "work", 22*time.Millisecond, "time that a request takes")
	flags.DurationVar(&e.idle, "idle", 15*time.Second, "time after which an idle flow is discarded")
	if err := flags.Parse(args); err != nil {
		return err
	}
	e.app, e.outbound, e.control = netip.MustParseAddrPort(app), netip.MustParseAddrPort(outbound), netip.MustParseAddrPort(control)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.app))
	if err != nil {
		return err
	}
	e.conn = conn
	listener, err := net.Listen("tcp4", e.app.String())
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Instance-Id", e.id)
			_, _ = io.WriteString(w, "ok")
		}))
	}()
	go e.sendHeartbeats()
	e.print("up born=%d", e.born)
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		e.handle(buffer[:n])
	}
}

func (e *endpoint) print(format string, args ...any) {
	fmt.Printf("%d endpoint %s %s\n", time.Now().UnixMilli(), e.id, fmt.Sprintf(format, args...))
}

// sendHeartbeats sends a heartbeat every e.beat over one connection that is kept open.
func (e *endpoint) sendHeartbeats() {
	client := &http.Client{Timeout: beatTimeout}
	ticker := time.NewTicker(e.beat)
	defer ticker.Stop()
	for {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.app.String(), "zone": e.zone, "version": "v1", "slots": 3, "state": e.state,
			"warmupLeftMs": 0, "seq": e.seq, "born": e.born,
		})
		seq := e.seq
		e.seq++
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodPut,
			"http://"+e.control.String()+"/orioledyke/instances/"+e.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			e.print("beat seq=%d failed", seq)
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			e.print("beat seq=%d status=%d", seq, response.StatusCode)
		}
		<-ticker.C
	}
}

func (e *endpoint) send(p packet) {
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(e.key), e.outbound)
}

// handle handles a packet that has arrived at the endpoint.
func (e *endpoint) handle(raw []byte) {
	p, ok := decode(raw)
	if !ok || !genuine(raw, e.key) || p.flags&(flagSyn|flagAck) == flagSyn|flagAck {
		e.print("forged packet of %d bytes", len(raw))
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f := e.flows[p.src][p.dst]
	if f != nil && time.Since(f.lastSeen) > e.idle {
		e.drop(f, "idle")
		f = nil
	}
	if p.flags&flagSyn != 0 {
		e.accept(p, f)
		return
	}
	if f == nil || (!f.open && p.ack != f.isn+1) {
		e.print("bounced %s>%s len=%d", p.src, p.dst, len(p.data))
		raw[0] |= flagBounced
		raw[1], raw[2], raw[3] = 0, 0, 0
		_, _ = e.conn.WriteToUDPAddrPort(raw, e.outbound)
		return
	}
	f.lastSeen = time.Now()
	if !f.open {
		f.open = true
		e.print("open %s>%s", p.src, p.dst)
	}
	if p.flags&flagReset != 0 {
		e.drop(f, "reset by client")
		return
	}
	f.acknowledged(p.ack)
	e.receive(f, p)
}

func (e *endpoint) drop(f *served, why string) {
	delete(e.flows[f.client], f.address)
	close(f.done)
	e.print("closed %s>%s %s", f.client, f.address, why)
}

func (e *endpoint) accept(p packet, f *served) {
	if f == nil {
		f = &served{client: p.src, address: p.dst, isn: rand.Uint32(), received: p.seq + 1, lastSeen: time.Now(), done: make(chan struct{})}
		f.next = f.isn + 1
		if e.flows[p.src] == nil {
			e.flows[p.src] = map[netip.AddrPort]*served{}
		}
		e.flows[p.src][p.dst] = f
	}
	e.send(packet{flags: flagSyn | flagAck, seq: f.isn, ack: f.received, src: f.address, dst: f.client})
}

func (f *served) acknowledged(ack uint32) {
	kept := f.unacked[:0]
	for _, p := range f.unacked {
		if int32(p.seq+uint32(len(p.data))-ack) > 0 {
			kept = append(kept, p)
		}
	}
	f.unacked = kept
}

// receive takes data in order, acknowledges it, and runs complete requests.
func (e *endpoint) receive(f *served, p packet) {
	if p.flags&flagFinal != 0 {
		e.drop(f, "closed by client")
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.received {
		f.received += uint32(len(p.data))
		f.input = append(f.input, p.data...)
	}
	e.send(packet{flags: flagAck, seq: f.next, ack: f.received, src: f.address, dst: f.client})
	head, rest, whole := bytes.Cut(f.input, []byte("\r\n\r\n"))
	if !whole {
		return
	}
	length, id := 0, ""
	for _, line := range strings.Split(string(head), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Content-Length":
			length, _ = strconv.Atoi(value)
		case "X-Request-Id":
			id = value
		}
	}
	if len(rest) < length {
		return
	}
	f.input = rest[length:]
	e.print("run %s of %s>%s", id, f.client, f.address)
	time.AfterFunc(e.work, func() { e.respond(f, id) })
}

func (e *endpoint) respond(f *served, id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.flows[f.client][f.address] != f {
		return
	}
	body := "answer to " + id + " of " + e.id
	p := packet{
		flags: flagAck, seq: f.next, ack: f.received, src: f.address, dst: f.client,
		data: []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, len(body), body)),
	}
	f.next += uint32(len(p.data))
	f.lastSeen = time.Now()
	f.unacked = append(f.unacked, p)
	e.send(p)
	go e.retransmit(f, p)
}

func (e *endpoint) retransmit(f *served, p packet) {
	wait := firstRetransmit
	for range maxRetransmits {
		select {
		case <-f.done:
			return
		case <-time.After(wait):
		}
		e.mutex.Lock()
		pending := false
		for _, u := range f.unacked {
			pending = pending || u.seq == p.seq
		}
		if pending {
			e.send(p)
		}
		e.mutex.Unlock()
		if !pending {
			return
		}
		wait = min(2*wait, lastRetransmit)
	}
}
