package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	standin "github.com/orioledyke/orioledyke/internal/standin/platform"
)

// callsPeriod covers several watches and several renewals of a session.
const callsPeriod = 15 * time.Second

// BenchmarkCalls measures the calls that readers make to the platform while
// nothing changes, with two readers in each of 1 to 11 data centres. Other
// processes make one call when they start and none later.
func BenchmarkCalls(b *testing.B) {
	for _, dataCentres := range []int{1, 3, 6, 11} {
		b.Run(fmt.Sprintf("data-centres=%d", dataCentres), func(b *testing.B) {
			for b.Loop() {
				measureCalls(b, dataCentres)
			}
		})
	}
}

func measureCalls(b *testing.B, dataCentres int) {
	server := standin.NewServer(standin.Config{})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callsPeriod)
	defer cancel()
	var readers sync.WaitGroup
	for i := range 2 * dataCentres {
		client := platform.New(platform.Config{Address: listener.URL})
		readers.Go(func() {
			_ = client.WatchContracts(ctx, platform.ContractWatch{Held: nothingHeld, Deliver: func(contract.Document) {}})
		})
		readers.Go(func() {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
			_ = client.RegisterSeed(ctx, fmt.Sprint("dc-", i/2), identity.OwnerID(i+1), address)
		})
	}
	readers.Wait()
	counts := server.Counts()
	b.ReportMetric(float64(counts.Reads)/callsPeriod.Seconds(), "reads/s")
	b.ReportMetric(float64(counts.Writes)/callsPeriod.Seconds(), "writes/s")
	b.ReportMetric(0, "ns/op")
}
