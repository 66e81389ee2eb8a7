package node

import (
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/route"
)

// Guards against a configuration of 1,300 routes that takes longer to reach a starting
// host on a slow link than the host waits for it.
func TestConfigurationIsCompressedForPeers(t *testing.T) {
	c := qt.New(t)
	n := &balancerNode{base: &base{}, machine: balancer.New(balancer.Config{})}
	get := func(encoding string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodGet, configurationPath, nil)
		request.Header.Set("Accept-Encoding", encoding)
		recorder := httptest.NewRecorder()
		n.serveConfiguration(recorder, request)
		return recorder
	}
	c.Assert(get("gzip").Code, qt.Equals, http.StatusNotFound)
	for version := uint64(1); version <= 2; version++ {
		var document strings.Builder
		for i := range 1300 {
			fmt.Fprintf(&document, `{"name":"route-%d","host":"198.18.%d.%d","prefix":"/443/","service":"service-%d","timeoutMs":2500}`, i, i>>8, i&255, i)
		}
		n.machine.SetTable(0, route.NewTable(route.Config{Version: version, Document: []byte(fmt.Sprint(version, document.String()))}))
		expected := string(n.machine.Table().Document())
		c.Assert(get("").Body.String(), qt.Equals, expected)
		response := get("gzip")
		c.Assert(response.Header().Get("Content-Encoding"), qt.Equals, "gzip")
		c.Assert(response.Body.Len() < len(expected)/5, qt.IsTrue)
		reader, err := gzip.NewReader(response.Body)
		c.Assert(err, qt.IsNil)
		content, err := io.ReadAll(reader)
		c.Assert(err, qt.IsNil)
		c.Assert(string(content), qt.Equals, expected)
	}
}
