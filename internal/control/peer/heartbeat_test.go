package peer_test

import (
	"context"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// BenchmarkHeartbeat measures a heartbeat and its response over gRPC, TLS and
// the loopback interface. cpu-ns/op covers both ends, so a node takes about
// half of it.
func BenchmarkHeartbeat(b *testing.B) {
	c := qt.New(b)
	store := newKeys(c, 1)
	node := startBalancer(c, 1, store)
	node.MarkComplete()
	conn, err := grpc.NewClient("passthrough:///"+node.address.String(), grpc.WithTransportCredentials(credentials.NewTLS(store.TLS("h2"))))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	stream, err := controlpb.NewControlClient(conn).Announce(context.Background())
	c.Assert(err, qt.IsNil)
	member := membership.NewRecord(membership.RecordConfig{
		ID: 101, Version: 1, Role: membership.RoleSidecar, State: membership.StateServing, DataCentre: "agassiz",
		Customer: "ferncliff-willow", Service: "bundle-desk",
	}).Member()
	sendHeartbeat := func() {
		c.Assert(stream.Send(&controlpb.AnnounceRequest{Member: member}), qt.IsNil)
		_, err := stream.Recv()
		c.Assert(err, qt.IsNil)
	}
	sendHeartbeat()
	member = &controlpb.Member{Id: member.GetId(), Version: member.GetVersion()}
	before := processorTime(c)
	for b.Loop() {
		sendHeartbeat()
	}
	b.ReportMetric(float64(processorTime(c)-before)/float64(b.N), "cpu-ns/op")
}

func processorTime(c *qt.C) int64 {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return usage.Utime.Nano() + usage.Stime.Nano()
}
