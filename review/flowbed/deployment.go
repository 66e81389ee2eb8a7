package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Addresses of the routes. They stand in packets and in the configuration only; nothing listens there.
var (
	boardAddress   = netip.MustParseAddrPort("127.250.0.1:8443")
	bookingAddress = netip.MustParseAddrPort("127.250.0.1:8080")
	uploadAddress  = netip.MustParseAddrPort("127.250.0.2:8443")
)

const (
	portal  = "grower-portal"
	bridge  = "weighbridge"
	workFor = 22 * time.Millisecond
)

// configure writes a configuration in which the board's route leads to a service.
func (b *bed) configure(version int, board string) {
	route := func(name string, address netip.AddrPort, service, kind string, timeout, goal, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "kind": kind,
			"timeoutMs": timeout, "latencyGoalMs": goal, "priority": priority, "service": service, "attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}
	}
	document, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("board", boardAddress, board, "idempotent", 2000, 120, 2),
			route("booking", bookingAddress, portal, "non_idempotent", 2500, 150, 1),
			route("upload", uploadAddress, bridge, "upload", 8000, 500, 2),
		},
		"services": []any{service(portal), service(bridge)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	b.store.set("op/config", base64.StdEncoding.EncodeToString(document))
}

// deploy starts the deployment and returns when all fronts are in rotation and all endpoints
// have sent two heartbeats.
func (b *bed) deploy(fronts, portals, bridges int) error {
	b.configure(7, portal)
	b.firstFronts = fronts
	for i := range fronts {
		b.addFront(zones[i%len(zones)])
	}
	for i := range portals {
		b.addSide(zones[i%len(zones)], portal)
	}
	for i := range bridges {
		b.addSide(zones[i%len(zones)], bridge)
	}
	for _, m := range append(append([]*machine{}, b.fronts...), b.sides...) {
		if err := m.startSystem(); err != nil {
			return err
		}
	}
	for _, m := range b.sides {
		if err := m.startEndpoint(workFor); err != nil {
			return err
		}
	}
	go b.probe()
	return b.await("the deployment is ready", 15*time.Second, func() bool {
		for _, m := range b.sides {
			if b.count("endpoint "+m.endpointName+" beat", "status=200") < 2 {
				return false
			}
		}
		b.mutex.Lock()
		defer b.mutex.Unlock()
		for _, m := range b.fronts {
			if misses, probed := b.misses[m]; !probed || misses > 0 {
				return false
			}
		}
		return true
	})
}

// machineOf returns the machine of the endpoint with a name.
func (b *bed) machineOf(endpoint string) *machine {
	for _, m := range b.sides {
		if m.endpointName == endpoint {
			return m
		}
	}
	return nil
}

// useAgain sends a request on each flow, one after each gap, and waits for the answers. It
// returns true if the system has reset a flow that its endpoint holds.
func (b *bed) useAgain(flows []*clientFlow, gap time.Duration) (broken bool) {
	results := make(chan bool)
	for i, f := range flows {
		go func() {
			time.Sleep(time.Duration(i) * gap)
			err := f.request(fmt.Sprintf("second-%d", i), 2*time.Second)
			reset := f.resetBySystem && !b.seen("closed "+f.String())
			if reset {
				b.log("FLOW: %s was reset by the system; its endpoint %s lives and holds it", f, f.endpoint)
			} else if err != nil {
				b.log("second request on %s: %s", f, err)
			}
			results <- reset
		}()
	}
	for range flows {
		broken = <-results || broken
	}
	return broken
}
