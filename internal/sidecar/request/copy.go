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

// hopByHop lists the headers that apply to a single connection: those of RFC 9110,
// section 7.6.1, and those of older versions of HTTP. Expect is among them because
// the server itself responds to it.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of header without the fields that apply to a single
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
		// Without an explicit nil, the server would guess the content type.
		target["Content-Type"] = nil
	}
	w.WriteHeader(status)
}

func writeTrailer(w http.ResponseWriter, trailer http.Header) {
	for name, values := range trailer {
		w.Header()[http.TrailerPrefix+name] = append([]string(nil), values...)
	}
}

// writeResponse sends a response that is held in memory. Write errors are ignored: a
// client that has lost its connection can repeat the request.
func writeResponse(w http.ResponseWriter, r ticket.Response) {
	writeHeader(w, r.Status, r.Header)
	_, _ = w.Write(r.Body)
	writeTrailer(w, r.Trailer)
}

// errClient marks an error of writing to the client.
var errClient = errors.New("connection to the client is lost")

// copyBody copies a body to the client. It flushes after every read, so that the data
// of streams is not delayed. The error matches errClient if the client caused it.
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
