package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

// BenchmarkBurst measures one of 500 balancers while a neighbour reports many
// members as dead at once, as after the loss of a rack.
func BenchmarkBurst(b *testing.B) {
	for _, lost := range []int{40, 120, 240, 470} {
		b.Run(fmt.Sprint("lost=", lost), func(b *testing.B) {
			for b.Loop() {
				measureBurst(b, lost)
			}
		})
	}
}

func measureBurst(b *testing.B, lost int) {
	const balancers, settled, observed = 500, 120, 30
	n := newScaleNode(balancers)
	for range settled {
		n.simulateSecond(balancers)
	}
	n.bytes = 0
	for range observed {
		n.simulateSecond(balancers)
	}
	ordinary := n.bytes
	message := &controlpb.SyncMessage{Ready: true}
	for _, m := range n.members[balancers : balancers+lost] {
		m.State = membership.StateDead
		message.Members = append(message.Members, membership.NewRecord(m).Member())
	}
	n.bytes = 0
	start := time.Now()
	n.receive(n.links[len(n.links)-1], message)
	processed := time.Since(start)
	peak := 0
	for range observed {
		before := n.bytes
		n.simulateSecond(balancers)
		peak = max(peak, n.bytes-before)
	}
	b.ReportMetric(float64(n.bytes-ordinary), "extra-bytes-sent")
	b.ReportMetric(float64(peak), "peak-bytes/s")
	b.ReportMetric(float64(processed.Microseconds())/float64(lost), "us/record")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkJoin measures how much a joining balancer receives and how long it
// takes to process the state of a fleet.
func BenchmarkJoin(b *testing.B) {
	for _, balancers := range []int{50, 150, 300, 500} {
		b.Run(fmt.Sprint("balancers=", balancers), func(b *testing.B) {
			for b.Loop() {
				start := time.Now()
				n := newScaleNode(balancers)
				elapsed := time.Since(start)
				bytes := 0
				for _, m := range n.members {
					bytes += proto.Size(membership.NewRecord(m).Member())
				}
				b.ReportMetric(float64(bytes)/float64(len(n.members)), "bytes/member")
				b.ReportMetric(float64(elapsed.Microseconds())/float64(len(n.members)), "us/member")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
