package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// applyLimit is the time within which the users want a configuration in effect
	// everywhere.
	applyLimit = 4 * clock.Second
	// stormGap is the time between two configurations of a storm, and stormDuration is
	// the duration of a storm.
	stormGap      clock.Millis = 100
	stormDuration              = 7 * clock.Second

	versionMetric = "orioledyke_flow_balancer_configuration_version"
)

// versionHistory is what a balancer has reported since it runs without interruption.
type versionHistory struct {
	// steadySince is the start of that time; 0 means that the balancer is interrupted.
	steadySince clock.Millis
	reports     []versionReport
}

type versionReport struct {
	at      clock.Millis
	version uint64
}

// versionAt returns the highest version that was reported until a time, or 0.
func (h *versionHistory) versionAt(time clock.Millis) uint64 {
	var version uint64
	for _, r := range h.reports {
		if r.at <= time {
			version = max(version, r.version)
		}
	}
	return version
}

// trackInterruptions forgets what interrupted balancers have reported.
func (s *System) trackInterruptions(now clock.Millis) {
	for i, h := range s.balancers {
		switch history := &s.versions[i]; {
		case !h.steady():
			*history = versionHistory{}
		case history.steadySince == 0:
			history.steadySince = now
		}
	}
}

// steady reports whether the process runs and is neither paused nor about to end.
func (h *host) steady() bool { return h.running() && !h.stopping && h.pausedUntil == 0 }

// readVersions reads the configuration versions of all balancers in the background.
func (s *System) readVersions() {
	for i := range s.balancers {
		startedAt := s.now()
		url := fmt.Sprintf("http://%s/metrics", s.address(1, i, observePort))
		go func() {
			request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
			if err != nil {
				return
			}
			response, err := s.httpClient.Do(request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			if version, ok := findVersion(response.Body); ok {
				s.post(func() { s.checkVersion(i, startedAt, version) })
			}
		}()
	}
}

// findVersion returns the configuration version in the text of metrics.
func findVersion(metrics io.Reader) (uint64, bool) {
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), versionMetric+" "); ok {
			version, err := strconv.ParseFloat(text, 64)
			return uint64(version), err == nil
		}
	}
	return 0, false
}

// checkVersion records a failure if a balancer has an older configuration than another one
// had applyLimit before. Both must have run without interruption all the while. The store
// may have served neither of them since.
func (s *System) checkVersion(balancer int, readAt clock.Millis, version uint64) {
	own := &s.versions[balancer]
	if own.steadySince == 0 || !s.balancers[balancer].steady() {
		return
	}
	own.reports = append(own.reports, versionReport{at: s.now(), version: version})
	if version < own.versionAt(readAt) {
		s.recordFailure("%s reverted to version %d", s.balancers[balancer].name, version)
	}
	if readAt-own.steadySince < applyLimit {
		return
	}
	for i := range s.versions {
		if known := s.versions[i].versionAt(readAt - applyLimit); s.balancers[i].steady() && known > version {
			s.recordFailure("%d ms: %s has version %d, %s had %d before %d ms",
				readAt, s.balancers[balancer].name, version, s.balancers[i].name, known, readAt-applyLimit)
			return
		}
	}
}

// startStorm writes a configuration every stormGap for stormDuration.
func (s *System) startStorm() {
	end, next := s.now()+stormDuration, s.now()
	var write func()
	write = func() {
		now := s.now()
		if now >= next {
			next = now + stormGap
			s.configure()
		}
		if now < end {
			s.postLater(write)
		}
	}
	write()
}
