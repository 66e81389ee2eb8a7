package sibling

import (
	"context"
	"net/http"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// Headers of requests between sidecars. They are removed from the requests of
// clients.
const (
	ownerHeader    = "Orioledyke-Owner"
	hopHeader      = "Orioledyke-Hop"
	timeLeftHeader = "Orioledyke-Time-Left"

	// misdirected is the value of hopHeader in the response of a sidecar that is not
	// the intended receiver. It distinguishes this response from a 421 of an upstream.
	misdirected = "misdirected"
)

// Hop is the reason why a sidecar received a request from a sibling.
type Hop string

// Reasons for a hop. A request makes at most one hop for each reason: the sidecar
// named in the ticket may hand off a request that was forwarded to it.
const (
	// Direct means that the request came from a client without a hop.
	Direct Hop = ""
	// HandedOff means that the sender has no free slot, refuses new work or retries the
	// request. The receiver does not queue the request, hand it off again or check its
	// ticket.
	HandedOff Hop = "hand-off"
	// Forwarded means that the ticket of the request names the receiver as its owner.
	Forwarded Hop = "forward"
)

// Origin describes how a request reached this sidecar.
type Origin struct {
	Hop Hop
	// TimeLeft is the time until the client stops waiting, or zero if the sender gave
	// no limit.
	TimeLeft clock.Millis
}

type originKey struct{}

// OriginOf returns the Origin of the request with the given context. It is the zero
// Origin for a request from a client.
func OriginOf(ctx context.Context) Origin {
	origin, _ := ctx.Value(originKey{}).(Origin)
	return origin
}

// RemoveHeaders removes the headers that only sidecars may set.
func RemoveHeaders(header http.Header) {
	header.Del(ownerHeader)
	header.Del(hopHeader)
	header.Del(timeLeftHeader)
}

func setHeaders(header http.Header, owner identity.OwnerID, origin Origin) {
	header.Set(ownerHeader, owner.String())
	header.Set(hopHeader, string(origin.Hop))
	header.Del(timeLeftHeader)
	if origin.TimeLeft > 0 {
		header.Set(timeLeftHeader, strconv.FormatInt(int64(origin.TimeLeft), 10))
	}
}

// readHeaders returns the intended receiver and the origin of a request. It reports
// false if a header is missing or malformed.
func readHeaders(header http.Header) (identity.OwnerID, Origin, bool) {
	owner, err := identity.ParseOwnerID(header.Get(ownerHeader))
	if err != nil {
		return 0, Origin{}, false
	}
	origin := Origin{Hop: Hop(header.Get(hopHeader))}
	if origin.Hop != HandedOff && origin.Hop != Forwarded {
		return 0, Origin{}, false
	}
	if text := header.Get(timeLeftHeader); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil || left <= 0 {
			return 0, Origin{}, false
		}
		origin.TimeLeft = clock.Millis(left)
	}
	return owner, origin, true
}
