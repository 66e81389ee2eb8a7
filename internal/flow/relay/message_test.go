package relay_test

import (
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

var key = segment.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))

// Guards against a field that one process encodes and another does not decode.
func TestMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	service := identity.NewServiceID("", "portal")
	for _, m := range []relay.Message{
		{Kind: relay.KindForward, Requester: netip.MustParseAddrPort("10.1.0.1:7000"), Service: service, Packet: []byte{1, 2, 3}},
		{Kind: relay.KindForward, Service: service, LatencyGoal: 120, Packet: []byte{1}},
		{Kind: relay.KindForward, Service: service, LatencyGoal: 800, PastGoal: true, Packet: []byte{1}},
		{Kind: relay.KindSearch, Service: service, Packet: []byte{1}},
		{Kind: relay.KindHint, Keys: []segment.Key{key, key}},
		{Kind: relay.KindAbsent, Key: key},
		{Kind: relay.KindAbsent, Key: key, Queried: 2, QueriedHosts: []netip.Addr{netip.MustParseAddr("10.2.0.1"), netip.MustParseAddr("10.2.0.2")}},
		{Kind: relay.KindPing},
		{Kind: relay.KindEpoch, Epoch: 7},
		{Kind: relay.KindVerify, Outage: 1 << 63},
		{Kind: relay.KindUnanswered, Key: key, Sidecars: []netip.AddrPort{netip.MustParseAddrPort("10.2.0.1:7000")}},
		{Kind: relay.KindNotHeld, Packet: []byte{4}},
		{Kind: relay.KindRefused, Reason: relay.ReasonDraining, Key: key, Load: relay.Load{Active: 7, Flows: 300}},
		{Kind: relay.KindClaimed, Key: key},
		{Kind: relay.KindReport, Report: relay.Report{
			Incarnation: 99, Service: service, DataCentre: "hope", Accepting: true, Slots: 3, Warmup: 5, Interval: 240,
			Load: relay.Load{Active: 1, Flows: 2}, AllListed: true,
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:8443")},
		}},
		{Kind: relay.KindReport, Report: relay.Report{
			Service: service, DataCentre: "hope", Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443")},
			Work: relay.Work{Known: true, Remaining: 70_000, ServiceTime: 13.2, Failed: 3, Ended: 20},
		}},
		{Kind: relay.KindReport, Report: relay.Report{Service: service, DataCentre: "hope", Evacuated: true}},
		{Kind: relay.KindDirectives},
		{Kind: relay.KindDirectives, Directives: relay.Directives{Version: 9, WarmupRate: 12.5, Evacuations: []evacuation.Record{
			{DataCentre: "hope", Evacuated: true, Revision: store.Revision{Epoch: 2, Number: 1 << 40}}, {DataCentre: "surrey"},
		}}},
		{Kind: relay.KindDigest, Digest: relay.Digest{
			Version: 3, Interval: 70_000, ReportInterval: 200,
			Balancers: []netip.Addr{netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")},
			Siblings:  []netip.Addr{netip.MustParseAddr("10.2.0.1")},
		}},
		{Kind: relay.KindRoster, Roster: relay.Roster{
			Incarnation: 99, Age: 70_000, EntryFound: true, Complete: true, Hosts: []netip.Addr{netip.MustParseAddr("10.2.0.1")},
		}},
		{Kind: relay.KindRoster, Roster: relay.Roster{Age: 5, Complete: true}},
	} {
		data, err := m.Append(nil)
		c.Assert(err, qt.IsNil)
		decoded, err := relay.Decode(data)
		c.Assert(err, qt.IsNil)
		reencoded, err := decoded.Append(nil)
		c.Assert(err, qt.IsNil)
		c.Assert(reencoded, qt.DeepEquals, data)
		c.Assert(decoded.Key, qt.Equals, m.Key)
		c.Assert(decoded.Load, qt.Equals, m.Load)
		c.Assert(decoded.Sidecars, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), m.Sidecars)
		c.Assert(decoded.Queried, qt.Equals, m.Queried)
		c.Assert(decoded.QueriedHosts, qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{})), m.QueriedHosts)
		c.Assert(decoded.LatencyGoal, qt.Equals, m.LatencyGoal)
		c.Assert(decoded.PastGoal, qt.Equals, m.PastGoal)
		c.Assert(decoded.Epoch, qt.Equals, m.Epoch)
		c.Assert(decoded.Directives, qt.DeepEquals, m.Directives)
		c.Assert(decoded.Outage, qt.Equals, m.Outage)
		c.Assert(decoded.Report, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), m.Report)
		c.Assert(decoded.Roster, qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{})), m.Roster)
		c.Assert(decoded.Digest, qt.CmpEquals(cmpopts.EquateComparable(netip.Addr{})), m.Digest)
	}
}

// Guards against reports that processes without address lists cannot read or send while a
// system is replaced host by host, and against a list that is taken as complete although
// addresses were left out.
func TestReportLimits(t *testing.T) {
	c := qt.New(t)
	full := relay.Report{
		DataCentre: strings.Repeat("d", 300), AllListed: true,
		Work: relay.Work{Known: true, Remaining: 1 << 40, ServiceTime: 1e9, Failed: 1, Ended: 10_000},
	}
	for i := range relay.MaxReportAddresses + 1 {
		full.Addresses = append(full.Addresses, netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(i+1)))
	}
	m := relay.Message{Kind: relay.KindReport, Report: full}
	data, err := m.Append(nil)
	c.Assert(err, qt.IsNil)
	const headerSize, tail = 25, 255
	c.Assert(len(data), qt.Equals, headerSize+tail)
	decoded, err := relay.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Report.Addresses, qt.HasLen, relay.MaxReportAddresses)
	c.Assert(decoded.Report.AllListed, qt.IsFalse)
	// A small share of failures is not scaled down to none.
	c.Assert(decoded.Report.Work, qt.Equals, relay.Work{Known: true, Remaining: 1<<32 - 1, ServiceTime: 6553, Failed: 1, Ended: 255})

	older := append([]byte{byte(relay.KindReport), 1}, make([]byte, headerSize-2)...)
	decoded, err = relay.Decode(append(older, "hope"...))
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Report.DataCentre, qt.Equals, "hope")
	c.Assert(decoded.Report.AllListed, qt.IsFalse)
}

// Guards against directives that do not fit into a datagram, that are read beyond their end,
// or whose layout differs from the one that is documented, and against a low warm-up rate
// that is taken for none.
func TestDirectivesLimits(t *testing.T) {
	c := qt.New(t)
	var full relay.Directives
	for i := range evacuation.MaxRecords {
		full.Evacuations = append(full.Evacuations, evacuation.Record{DataCentre: strings.Repeat(string(rune('0'+i)), evacuation.MaxNameLength)})
	}
	m := relay.Message{Kind: relay.KindDirectives, Directives: full}
	data, err := m.Append(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= relay.MaxMessage, qt.IsTrue)
	m.Directives.Evacuations = append(full.Evacuations, evacuation.Record{})
	_, err = m.Append(nil)
	c.Assert(err, qt.IsNotNil)

	m.Directives = relay.Directives{Version: 258, WarmupRate: 0.01, Evacuations: []evacuation.Record{
		{DataCentre: "hope", Evacuated: true, Revision: store.Revision{Epoch: 2, Number: 259}},
	}}
	data, err = m.Append(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "\x0e\x00\x00\x00\x00\x00\x00\x01\x02\x00\x01\x01"+
		"\x01\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x01\x03\x04hope")
	for length := range len(data) {
		_, err := relay.Decode(data[:length])
		c.Assert(err, qt.IsNotNil)
	}
	decoded, err := relay.Decode(append(data, 7))
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Directives.Evacuations, qt.DeepEquals, m.Directives.Evacuations)
}

// Guards against a crash on a malformed datagram from an unauthenticated sender.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{byte(relay.KindForward), 1, 0, 0, 0, 0, 0, 9})
	f.Add([]byte{byte(relay.KindReport), '{', '}'})
	f.Add(append([]byte{byte(relay.KindDigest)}, make([]byte, 22)...))
	f.Add(append([]byte{byte(relay.KindDirectives)}, "-version--r\x01f--epoch---number-\x04hope"...))
	f.Add(append(append([]byte{byte(relay.KindDigest)}, make([]byte, 16)...), 255, 255, 0, 0, 0, 0, 1))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Only a panic is a failure.
		_, _ = relay.Decode(data)
	})
}
