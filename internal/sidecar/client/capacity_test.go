package client_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	balancer "github.com/orioledyke/orioledyke/internal/balancer/client"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/quic-go/quic-go/http3"
)

const (
	flowsVariable = "ORIOLEDYKE_CAPACITY_FLOWS"
	// idlePeriod is two keep-alive periods long.
	idlePeriod = 10 * time.Second
	// maxDials is the maximum number of handshakes in progress.
	maxDials = 16
)

// TestCapacityClients runs in the second process of BenchmarkFlows. It opens flows
// with one stream each, prints "open" when all are open, and keeps them until its
// input ends. It does nothing unless BenchmarkFlows starts it.
func TestCapacityClients(t *testing.T) {
	variable := os.Getenv(flowsVariable)
	if variable == "" {
		return
	}
	c := qt.New(t)
	var flows int
	var address string
	_, err := fmt.Sscan(variable, &flows, &address)
	c.Assert(err, qt.IsNil)
	dialSlots := make(chan struct{}, maxDials)
	var wait sync.WaitGroup
	failed := make([]error, flows)
	for i := range flows {
		dialSlots <- struct{}{}
		wait.Go(func() {
			defer func() { <-dialSlots }()
			transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, ServerName: "localhost"}}
			var response *http.Response
			if response, failed[i] = (&http.Client{Transport: transport}).Get("https://" + address + "/stream"); failed[i] == nil {
				_, failed[i] = response.Body.Read(make([]byte, 1))
			}
		})
	}
	wait.Wait()
	for _, err := range failed {
		c.Assert(err, qt.IsNil)
	}
	fmt.Println("open")
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// BenchmarkFlows measures the memory and processor time that open flows cost a
// sidecar and one balancer. Both run in this process, and the clients in another one.
func BenchmarkFlows(b *testing.B) {
	for _, flows := range []int{100, 400, 1000, 2000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			for b.Loop() {
				measureFlows(b, flows)
			}
		})
	}
}

func measureFlows(b *testing.B, flows int) {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startPath(ctx, c)
	memory, processor := heapAndStacks(), processorTime()
	command := exec.Command(os.Args[0], "-test.run=^TestCapacityClients$")
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d %s", flowsVariable, flows, address))
	input, err := command.StdinPipe()
	c.Assert(err, qt.IsNil)
	output, err := command.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(command.Start(), qt.IsNil)
	line, err := bufio.NewReader(output).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Equals, "open\n")
	opened := processorTime()
	<-time.After(idlePeriod)
	idle := processorTime()
	b.ReportMetric(float64(heapAndStacks()-memory)/float64(flows), "B/flow")
	b.ReportMetric(float64((opened-processor).Microseconds())/float64(flows), "us-cpu/new-flow")
	b.ReportMetric(float64((idle-opened).Nanoseconds())/idlePeriod.Seconds()/float64(flows), "ns-cpu/s/idle-flow")
	b.ReportMetric(0, "ns/op")
	c.Assert(input.Close(), qt.IsNil)
	c.Assert(command.Wait(), qt.IsNil)
}

// startPath starts a sidecar whose streams stay open and a balancer in front of it.
// It returns the address of the service at the balancer.
func startPath(ctx context.Context, c *qt.C) netip.AddrPort {
	keys := testKeys(c)
	service := identity.NewServiceID("presa-digital", "grower-portal")
	s := startSidecarWith(ctx, c, keys, service, testCertificate(c), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "1")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	f, err := balancer.NewForwarder(ctx, balancer.Config{
		Entry: loopback, Tunnel: listen(c), Self: identity.NewOwnerID(), Keys: keys, Clock: clock.System(),
		LogEvent: func(string, error) {},
	})
	c.Assert(err, qt.IsNil)
	f.SetTable(routing.NewTable().With([]routing.Member{s.member}, nil))
	port := freePort(c)
	c.Assert(f.SetServices(map[identity.ServiceID]balancer.Service{service: {Port: port}}), qt.IsNil)
	return netip.AddrPortFrom(loopback, port)
}

func heapAndStacks() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
