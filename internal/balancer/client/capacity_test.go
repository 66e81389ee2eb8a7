package client

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

// firstBenchPort is the lowest port of the services in the benchmark. They listen on an
// address that no other test uses.
const firstBenchPort = 20000

// BenchmarkServices measures the memory in bytes that an idle service address takes.
func BenchmarkServices(b *testing.B) {
	for _, services := range []int{10, 100, 400, 1300} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				measureServices(b, services)
			}
		})
	}
}

func measureServices(b *testing.B, services int) {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	f, err := NewForwarder(ctx, Config{
		Entry: netip.MustParseAddr("127.9.9.9"), Tunnel: listenLoopback(c), Self: 1, Keys: keyring.NewStore(ring),
		Clock: clock.System(), LogEvent: func(string, error) {},
	})
	c.Assert(err, qt.IsNil)
	before := memoryInUse()
	all := map[identity.ServiceID]Service{}
	for i := range services {
		all[identity.ServiceID(i+1)] = Service{Port: uint16(firstBenchPort + i)}
	}
	c.Assert(f.SetServices(all), qt.IsNil)
	b.ReportMetric(float64(memoryInUse()-before)/float64(services), "B/service")
	b.ReportMetric(0, "ns/op")
	cancel()
	f.Wait()
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
