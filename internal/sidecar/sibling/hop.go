package sibling

import (
	"context"
	"net/http"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// Headers between sidecars. They are removed from the requests of clients.
const (
	ownerHeader    = "Orioledyke-Owner"
	hopHeader      = "Orioledyke-Hop"
	deadlineHeader = "Orioledyke-Time-Left"

	// misdirected is the value of hopHeader in the answer of a sidecar that is not
	// the receiver. An upstream's own 421 does not have it.
	misdirected = "misdirected"
)

// Hop tells why a sidecar got a request from a sibling.
type Hop string

// Reasons. A request makes at most one hop of each kind: the sidecar that is
// named in the ticket may hand it off.
const (
	// Direct is a request from a client.
	Direct Hop = ""
	// HandedOff is a request that found no free slot. It is not queued, handed off
	// again or checked for a ticket.
	HandedOff Hop = "hand-off"
	// Forwarded is a request whose ticket names the receiver.
	Forwarded Hop = "forward"
)

// Origin describes how a request reached this sidecar.
type Origin struct {
	Hop Hop
	// TimeLeft is the time until the client stops waiting, or zero if the sender
	// did not limit it.
	TimeLeft clock.Millis
}

type originKey struct{}

// OriginOf returns how the request with the given context reached this sidecar.
func OriginOf(ctx context.Context) Origin {
	origin, _ := ctx.Value(originKey{}).(Origin)
	return origin
}

// RemoveHeaders removes the headers between sidecars.
func RemoveHeaders(header http.Header) {
	header.Del(ownerHeader)
	header.Del(hopHeader)
	header.Del(deadlineHeader)
}

func setHeaders(header http.Header, owner identity.OwnerID, origin Origin) {
	header.Set(ownerHeader, owner.String())
	header.Set(hopHeader, string(origin.Hop))
	header.Del(deadlineHeader)
	if origin.TimeLeft > 0 {
		header.Set(deadlineHeader, strconv.FormatInt(int64(origin.TimeLeft), 10))
	}
}

// readHeaders returns the receiver and origin of a request. It reports false if
// they are malformed.
func readHeaders(header http.Header) (identity.OwnerID, Origin, bool) {
	owner, err := identity.ParseOwnerID(header.Get(ownerHeader))
	if err != nil {
		return 0, Origin{}, false
	}
	origin := Origin{Hop: Hop(header.Get(hopHeader))}
	if origin.Hop != HandedOff && origin.Hop != Forwarded {
		return 0, Origin{}, false
	}
	if text := header.Get(deadlineHeader); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil || left <= 0 {
			return 0, Origin{}, false
		}
		origin.TimeLeft = clock.Millis(left)
	}
	return owner, origin, true
}
