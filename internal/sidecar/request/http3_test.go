package request_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go/http3"
)

func serveHTTP3(c *qt.C, handler http.Handler) (*http.Client, string) {
	certified := httptest.NewTLSServer(nil)
	certified.Close()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	server := &http3.Server{Handler: handler, TLSConfig: http3.ConfigureTLSConfig(certified.TLS)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(conn) }()
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	c.Cleanup(func() {
		_ = transport.Close()
		_ = server.Close()
		_ = conn.Close()
		<-served
	})
	return &http.Client{Transport: transport}, "https://" + conn.LocalAddr().String()
}

// TestHTTP3 guards against faults that appear over HTTP/3 only: in requests of unknown
// length, flushed streams, trailers, and responses that break off.
func TestHTTP3(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	client, address := serveHTTP3(c, n.handler)
	send := func(r *http.Request) <-chan *http.Response {
		done := make(chan *http.Response, 1)
		go func() {
			response, err := client.Do(r)
			c.Check(err, qt.IsNil)
			done <- response
		}()
		return done
	}
	hold := func(key string) <-chan *http.Response {
		r, err := http.NewRequest(http.MethodPost, address+"/holds/1", io.MultiReader(strings.NewReader("willow")))
		c.Assert(err, qt.IsNil)
		r.Header.Set("Idempotency-Key", key)
		return send(r)
	}
	read := func(response *http.Response) string {
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return string(data)
	}

	response := <-hold("")
	c.Assert(response.StatusCode, qt.Equals, http.StatusPreconditionRequired)
	key := response.Header.Get("Request-Ticket")
	c.Assert(read(response), qt.Contains, "Idempotency-Key")
	for i := range 2 {
		held := hold(key)
		if i == 0 {
			job := <-n.upstream.arrived
			c.Assert(job.body, qt.Equals, "willow")
			job.respond <- func(w http.ResponseWriter) {
				w.Header().Set(http.TrailerPrefix+"Checksum", "7")
				_, _ = io.WriteString(w, "held")
			}
		}
		response = <-held
		c.Assert(read(response), qt.Equals, "held")
		c.Assert(response.Trailer.Get("Checksum"), qt.Equals, "7")
	}

	r, err := http.NewRequest(http.MethodGet, address+"/boards/1", nil)
	c.Assert(err, qt.IsNil)
	opened := send(r)
	next := make(chan struct{})
	(<-n.upstream.arrived).respond <- func(w http.ResponseWriter) {
		_ = http.NewResponseController(w).Flush()
		<-next
		_, _ = io.WriteString(w, "full")
		_ = http.NewResponseController(w).Flush()
		<-next
		panic(http.ErrAbortHandler)
	}
	response = <-opened
	defer response.Body.Close()
	next <- struct{}{}
	part := make([]byte, 4)
	_, err = io.ReadFull(response.Body, part)
	c.Assert(err, qt.IsNil)
	c.Assert(string(part), qt.Equals, "full")
	next <- struct{}{}
	_, err = response.Body.Read(part)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(err, qt.Not(qt.Equals), io.EOF)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(2))
}
