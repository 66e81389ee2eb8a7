package ticket_test

import (
	"encoding/base64"
	"flag"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"pgregory.net/rapid"
)

// init fixes the seed and length of the stateful tests. Command-line flags override
// them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "100")
}

func testRing(tb testing.TB, active keyring.Generation, generations ...keyring.Generation) *keyring.Ring {
	secrets := map[keyring.Generation][]byte{}
	for _, g := range generations {
		secrets[g] = make([]byte, keyring.SecretSize)
		secrets[g][0] = byte(g)
	}
	ring, err := keyring.New(active, secrets)
	if err != nil {
		tb.Fatal(err)
	}
	return ring
}

const (
	lifetime = clock.Millis(100)
	grace    = clock.Millis(50)
)

// modelTicket is the state of one ticket in the model.
type modelTicket struct {
	token string
	// runs counts how often Begin has returned Run.
	runs     int
	digest   ticket.Digest
	bound    bool
	ended    bool
	refused  bool
	response string
	issuedAt clock.Millis
}

// TestStore guards against a ticket that runs twice or after it was reported as not
// run, against a wrong response to a repeated request, and against a different
// request that affects a ticket. Repeated requests, completion, expiry and leaving
// come in random order.
func TestStore(t *testing.T) {
	ring := testRing(t, 1, 1)
	rapid.Check(t, func(t *rapid.T) {
		const maxRecords = 3
		s := ticket.NewStore(ticket.Config{
			Self: 1, Service: 2, Lifetime: lifetime, Grace: grace, MaxRecords: maxRecords, MaxBytes: 3,
		})
		var now clock.Millis
		var models []*modelTicket
		leaving := false
		draw := func(t *rapid.T) (*modelTicket, ticket.Ticket, bool) {
			if len(models) == 0 {
				return nil, ticket.Ticket{}, false
			}
			m := rapid.SampledFrom(models).Draw(t, "work")
			parsed, err := ticket.Parse(ring, m.token)
			if err != nil {
				t.Fatal(err)
			}
			return m, parsed, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if s.Records() > maxRecords || s.Bytes() > 3 {
					t.Fatalf("%d records, %d bytes", s.Records(), s.Bytes())
				}
			},
			"issue": func(t *rapid.T) {
				token, ok := s.Issue(ring.Active(), now)
				if ok == leaving {
					t.Fatalf("issued %v, leaving %v", ok, leaving)
				}
				if ok {
					models = append(models, &modelTicket{token: token, issuedAt: now})
				}
			},
			"arrive": func(t *rapid.T) {
				m, token, ok := draw(t)
				if !ok {
					return
				}
				digest := ticket.Digest{rapid.Byte().Filter(func(b byte) bool { return b < 2 }).Draw(t, "digest")}
				state, response := s.Begin(token, digest, now)
				checkBegin(t, m, state, response, digest, now, leaving)
			},
			"complete": func(t *rapid.T) {
				m, token, ok := draw(t)
				if !ok || m.runs == 0 || m.ended {
					return
				}
				m.ended = true
				if rapid.Bool().Draw(t, "large") {
					s.Complete(token, nil)
					return
				}
				m.response = string(rune('a' + rapid.IntRange(0, 25).Draw(t, "response")))
				s.Complete(token, &ticket.Response{Status: http.StatusOK, Body: []byte(m.response)})
			},
			"refuse": func(t *rapid.T) {
				if m, token, ok := draw(t); ok && m.runs == 1 && !m.ended {
					m.ended, m.refused = true, true
					s.Refuse(token)
				}
			},
			"late completion": func(t *rapid.T) {
				if m, token, ok := draw(t); ok && m.ended {
					s.Complete(token, &ticket.Response{Body: []byte("late")})
					s.Refuse(token)
				}
			},
			"advance": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 80).Draw(t, "elapsed")) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "leave") == 0 {
					leaving = true
					s.Leave()
				}
			},
		})
	})
}

// checkBegin checks what Begin returned for a request, first or repeated, and updates
// the model.
func checkBegin(t *rapid.T, m *modelTicket, state ticket.State, response ticket.Response, digest ticket.Digest, now clock.Millis, leaving bool) {
	expired := now >= m.issuedAt+lifetime
	dropped := now >= m.issuedAt+lifetime+grace
	running := m.runs > 0 && !m.ended
	if m.bound && digest != m.digest && state != ticket.Mismatch && !dropped {
		t.Fatalf("state %d for another request", state)
	}
	switch state {
	case ticket.Run:
		if m.runs > 0 || m.refused || expired || leaving {
			t.Fatalf("%+v runs twice, after a refusal, after its expiry or while leaving", m)
		}
		m.runs++
		m.bound, m.digest = true, digest
	case ticket.Refused:
		if m.runs > 0 && !m.refused {
			t.Fatalf("%+v has run but is reported as not run", m)
		}
		// A refusal is final: a later Run fails the test.
		m.refused = true
	case ticket.Running:
		if !running {
			t.Fatalf("%+v is reported as running", m)
		}
	case ticket.Done:
		if !m.ended || m.refused || string(response.Body) != m.response {
			t.Fatalf("%+v returns the response %q", m, response.Body)
		}
	case ticket.DoneWithoutResponse:
		if !m.ended || m.refused {
			t.Fatalf("%+v is reported as done", m)
		}
	case ticket.Mismatch:
		if m.bound && digest == m.digest {
			t.Fatalf("%+v is reported as another request", m)
		}
	case ticket.Unknown:
		if !expired || running || (m.runs > 0 && !dropped) {
			t.Fatalf("%+v is reported as unknown", m)
		}
	}
}

// TestKeyGenerations guards against tickets that become invalid with a key rotation,
// and against reporting a ticket as not run because its key was removed.
func TestKeyGenerations(t *testing.T) {
	c := qt.New(t)
	s := ticket.NewStore(ticket.Config{Self: 1, Service: 2})
	token, _ := s.Issue(testRing(c, 1, 1).Active(), 0)
	parsed, err := ticket.Parse(testRing(c, 2, 1, 2), token)
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.Owner(), qt.Equals, identity.OwnerID(1))
	c.Assert(parsed.Service(), qt.Equals, identity.ServiceID(2))
	_, err = ticket.Parse(testRing(c, 2, 2), token)
	c.Assert(err, qt.Equals, ticket.ErrUnknownKey)
}

// FuzzParse guards against a token that is accepted but was never issued, and
// against two different tokens for one ticket.
func FuzzParse(f *testing.F) {
	ring := testRing(f, 1, 1)
	s := ticket.NewStore(ticket.Config{Self: 1, Service: 2})
	token, _ := s.Issue(ring.Active(), 0)
	f.Add(token)
	f.Add(token[:len(token)-1])
	f.Add(token + "=")
	f.Add("")
	raw, _ := base64.RawURLEncoding.DecodeString(token)
	raw[10] ^= 1
	f.Add(base64.RawURLEncoding.EncodeToString(raw))
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(ring, text)
		if (err == nil) != (text == token) {
			t.Fatalf("%q: %v", text, err)
		}
		if err == nil && parsed.Encode(ring.Active()) != text {
			t.Fatalf("%q changes when it is decoded and encoded again", text)
		}
	})
}

// TestFullStore guards against a ticket that runs after it was refused because the
// store was full, and against records that are never dropped.
func TestFullStore(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c, 1, 1)
	s := ticket.NewStore(ticket.Config{Lifetime: lifetime, Grace: grace, MaxRecords: 1})
	issue := func(now clock.Millis) ticket.Ticket {
		token, _ := s.Issue(ring.Active(), now)
		parsed, err := ticket.Parse(ring, token)
		c.Assert(err, qt.IsNil)
		return parsed
	}
	begin := func(t ticket.Ticket, now clock.Millis) ticket.State {
		state, _ := s.Begin(t, ticket.Digest{}, now)
		return state
	}
	first, second := issue(0), issue(80)
	c.Assert(begin(first, 80), qt.Equals, ticket.Run)
	c.Assert(begin(second, 80), qt.Equals, ticket.Refused)
	s.Complete(first, &ticket.Response{Body: []byte("held")})
	c.Assert(s.Bytes(), qt.Equals, 4)
	third := issue(81)
	c.Assert(begin(second, 160), qt.Equals, ticket.Refused)
	c.Assert(s.Bytes(), qt.Equals, 0)
	c.Assert(begin(third, 160), qt.Equals, ticket.Run)
	c.Assert(begin(first, 160), qt.Equals, ticket.Unknown)
}
