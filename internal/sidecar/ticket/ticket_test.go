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

// init fixes the cases of the stateful tests. Arguments override them.
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

// work is what the model knows about one ticket.
type work struct {
	token string
	// runs counts answers Run.
	runs     int
	digest   ticket.Digest
	bound    bool
	ended    bool
	refused  bool
	response string
	issued   clock.Millis
}

// TestStore guards against a ticket that runs twice or after "not run", against a
// wrong response to a repeat and against another request that disturbs a ticket,
// for every order of copies, completion, expiry and leaving.
func TestStore(t *testing.T) {
	ring := testRing(t, 1, 1)
	rapid.Check(t, func(t *rapid.T) {
		const maxRecords = 3
		s := ticket.NewStore(ticket.Config{
			Self: 1, Service: 2, Lifetime: lifetime, Grace: grace, MaxRecords: maxRecords, MaxBytes: 3,
		})
		var now clock.Millis
		var works []*work
		left := false
		draw := func(t *rapid.T) (*work, ticket.Ticket, bool) {
			if len(works) == 0 {
				return nil, ticket.Ticket{}, false
			}
			w := rapid.SampledFrom(works).Draw(t, "work")
			parsed, err := ticket.Parse(ring, w.token)
			if err != nil {
				t.Fatal(err)
			}
			return w, parsed, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if s.Records() > maxRecords || s.Bytes() > 3 {
					t.Fatalf("%d records, %d bytes", s.Records(), s.Bytes())
				}
			},
			"issue": func(t *rapid.T) {
				token, ok := s.Issue(ring.Active(), now)
				if ok == left {
					t.Fatalf("issued %v, left %v", ok, left)
				}
				if ok {
					works = append(works, &work{token: token, issued: now})
				}
			},
			"arrive": func(t *rapid.T) {
				w, token, ok := draw(t)
				if !ok {
					return
				}
				digest := ticket.Digest{rapid.Byte().Filter(func(b byte) bool { return b < 2 }).Draw(t, "digest")}
				state, response := s.Begin(token, digest, now)
				arrive(t, w, state, response, digest, now, left)
			},
			"complete": func(t *rapid.T) {
				w, token, ok := draw(t)
				if !ok || w.runs == 0 || w.ended {
					return
				}
				w.ended = true
				if rapid.Bool().Draw(t, "large") {
					s.Complete(token, nil)
					return
				}
				w.response = string(rune('a' + rapid.IntRange(0, 25).Draw(t, "response")))
				s.Complete(token, &ticket.Response{Status: http.StatusOK, Body: []byte(w.response)})
			},
			"refuse": func(t *rapid.T) {
				if w, token, ok := draw(t); ok && w.runs == 1 && !w.ended {
					w.ended, w.refused = true, true
					s.Refuse(token)
				}
			},
			"late completion": func(t *rapid.T) {
				if w, token, ok := draw(t); ok && w.ended {
					s.Complete(token, &ticket.Response{Body: []byte("late")})
					s.Refuse(token)
				}
			},
			"advance": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 80).Draw(t, "elapsed")) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "leave") == 0 {
					left = true
					s.Leave()
				}
			},
		})
	})
}

// arrive checks the answer to one copy of a request.
func arrive(t *rapid.T, w *work, state ticket.State, response ticket.Response, digest ticket.Digest, now clock.Millis, left bool) {
	expired := now >= w.issued+lifetime
	dropped := now >= w.issued+lifetime+grace
	active := w.runs > 0 && !w.ended
	if w.bound && digest != w.digest && state != ticket.Mismatch && !dropped {
		t.Fatalf("state %d for another request", state)
	}
	switch state {
	case ticket.Run:
		if w.runs > 0 || w.refused || expired || left {
			t.Fatalf("%+v runs again, after a refusal, after its expiry or while leaving", w)
		}
		w.runs++
		w.bound, w.digest = true, digest
	case ticket.Refused:
		if w.runs > 0 && !w.refused {
			t.Fatalf("%+v ran and is reported as not run", w)
		}
		// A refusal is final: Run is an error from here on.
		w.refused = true
	case ticket.Running:
		if !active {
			t.Fatalf("%+v is reported as running", w)
		}
	case ticket.Done:
		if !w.ended || w.refused || string(response.Body) != w.response {
			t.Fatalf("%+v is answered with %q", w, response.Body)
		}
	case ticket.DoneWithoutBody:
		if !w.ended || w.refused {
			t.Fatalf("%+v is reported as done", w)
		}
	case ticket.Mismatch:
		if w.bound && digest == w.digest {
			t.Fatalf("%+v is reported as another request", w)
		}
	case ticket.Unknown:
		if !expired || active || (w.runs > 0 && !dropped) {
			t.Fatalf("%+v is reported as unknown", w)
		}
	}
}

// TestKeyGenerations guards against tickets that end with a key rotation, and
// against "not run" for a ticket whose key was removed.
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

// FuzzParse guards against a token that is accepted without being issued, and
// against two tokens for one ticket.
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
			t.Fatalf("%q changes when it is encoded again", text)
		}
	})
}

// TestFullStore guards against a ticket that runs after it was refused for want of
// room, and against room that is never freed.
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
