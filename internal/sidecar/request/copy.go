package request

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
)

const copyBufferSize = 32 << 10

// hopByHop headers belong to one connection (RFC 9110, section 7.6.1, and those
// of older versions of HTTP). Expect is answered by the server itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of header without the parts that belong to one
// connection or to a hop between sidecars.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	sibling.RemoveHeaders(out)
	return out
}

func writeHeader(w http.ResponseWriter, status int, header http.Header) {
	target := w.Header()
	for name, values := range header {
		target[name] = append([]string(nil), values...)
	}
	if _, ok := header["Content-Type"]; !ok {
		// The server would guess one.
		target["Content-Type"] = nil
	}
	w.WriteHeader(status)
}

func writeTrailer(w http.ResponseWriter, trailer http.Header) {
	for name, values := range trailer {
		w.Header()[http.TrailerPrefix+name] = append([]string(nil), values...)
	}
}

// writeResponse sends a response that is held in memory. A client that is gone
// can repeat the request.
func writeResponse(w http.ResponseWriter, r ticket.Response) {
	writeHeader(w, r.Status, r.Header)
	_, _ = w.Write(r.Body)
	writeTrailer(w, r.Trailer)
}

// errClient wraps the failure to write to a client.
var errClient = errors.New("client is gone")

// copyBody copies a body to the client and flushes after every part, so that
// streams stay current.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return errors.Join(errClient, err)
			}
			if err := controller.Flush(); err != nil {
				return errors.Join(errClient, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
