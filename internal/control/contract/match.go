package contract

import (
	"path"
	"strings"
)

// Match returns the kind of work of a request, and false if no kind matches.
// requestPath is the decoded path of the URL, which Match cleans first.
//
// Among the kinds with the same method, the longest path prefix wins. Prefixes
// are compared by whole segments: /holds matches /holds and /holds/7 but not
// /holdsworth.
func (s Service) Match(method, requestPath string) (Kind, bool) {
	cleaned := path.Clean("/" + requestPath)
	best := -1
	for i, k := range s.document.Kinds {
		if k.Method != method || !hasPathPrefix(cleaned, k.PathPrefix) {
			continue
		}
		if best < 0 || len(k.PathPrefix) > len(s.document.Kinds[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Kind{}, false
	}
	return Kind{document: s.document.Kinds[best]}, true
}

func hasPathPrefix(cleaned, prefix string) bool {
	if prefix == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(cleaned, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
