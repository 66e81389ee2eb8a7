package request

import (
	"net/http"
	"path"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// match returns the kind of the request. It reports false if the contract has none.
func (h *Handler) match(r *http.Request) (contract.Kind, bool) {
	if !canonical(r.URL.Path) {
		return contract.Kind{}, false
	}
	h.mutex.Lock()
	service := h.service
	h.mutex.Unlock()
	return service.Match(r.Method, r.URL.Path)
}

// canonical reports whether the path begins with a slash and has no empty segment and
// no segment "." or "..". One slash at the end is permitted. An upstream that resolves
// such segments could run work of another kind than the one that was matched.
func canonical(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}
