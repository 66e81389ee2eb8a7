package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxTicketedBody is the maximum body size in bytes of a request that may not be
	// repeated. Such a body is read before the request runs, because the ticket is
	// bound to it.
	maxTicketedBody = 256 << 10
	// maxReplayedBody is the size in bytes up to which the body of any other request is
	// buffered for a retry.
	maxReplayedBody = 64 << 10
	// maxHeldBodies is the maximum total size in bytes of the bodies in memory.
	maxHeldBodies = 64 << 20
)

var (
	errBodyTooLarge = errors.New("request body is too large")
	errNoMemory     = errors.New("too many request bodies are held in memory")
	errBodyEnded    = errors.New("request body belongs to an attempt that has ended")
)

// bodyMemory limits the memory that buffered bodies use. It is safe for concurrent
// use.
type bodyMemory struct {
	mutex sync.Mutex
	held  int64
}

// reserve reserves size bytes. It reports false if that would exceed maxHeldBodies.
func (m *bodyMemory) reserve(size int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.held+size > maxHeldBodies {
		return false
	}
	m.held += size
	return true
}

func (m *bodyMemory) free(size int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held -= size
}

// bodySource provides the body of a request to one or more attempts.
type bodySource struct {
	// data holds the whole body if buffered is set.
	data     []byte
	buffered bool
	length   int64

	mutex      sync.Mutex
	stream     io.Reader
	streamUsed bool
}

// replayable reports whether another attempt can send the whole body.
func (s *bodySource) replayable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffered || !s.streamUsed
}

func (s *bodySource) setStreamUsed(used bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.streamUsed = used
}

// open returns the body for one attempt.
func (s *bodySource) open() io.ReadCloser {
	if s.buffered && len(s.data) == 0 {
		return http.NoBody
	}
	return &attemptBody{source: s}
}

// attemptBody is the body of one attempt. It returns an error after Close, because
// the transport can continue to read after an attempt has ended.
type attemptBody struct {
	source *bodySource
	mutex  sync.Mutex
	offset int
	closed bool
	// hasRead is set once a part of the stream has been read.
	hasRead bool
}

// Read returns the next part of the body.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mutex.Lock()
	if b.closed {
		b.mutex.Unlock()
		return 0, errBodyEnded
	}
	if b.source.buffered {
		defer b.mutex.Unlock()
		n := copy(p, b.source.data[b.offset:])
		b.offset += n
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	b.source.setStreamUsed(true)
	b.mutex.Unlock()
	n, err := b.source.stream.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		// A request without Content-Length may have no body, such as a GET over
		// HTTP/3. Nothing of it has been consumed then.
		b.source.setStreamUsed(b.hasRead)
	}
	b.hasRead = b.hasRead || n > 0
	return n, err
}

// Close makes further reads of this attempt fail. The source stays usable.
func (b *attemptBody) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
	return nil
}

// openBody returns the body of a request that may be retried. It reads a small body
// completely, so that a slow client does not occupy a slot.
func (e *exchange) openBody() (*bodySource, error) {
	if e.r.ContentLength < 0 || e.r.ContentLength > maxReplayedBody {
		return &bodySource{stream: e.r.Body, length: e.r.ContentLength}, nil
	}
	return e.bufferBody(maxReplayedBody)
}

// bufferBody reads a body of at most limit bytes into memory. The error is
// errBodyTooLarge, errNoMemory, the cause for which the context of the request has
// ended, or the failure to read from the client.
func (e *exchange) bufferBody(limit int64) (*bodySource, error) {
	r := e.r
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return &bodySource{buffered: true}, nil
	}
	if r.ContentLength > 0 {
		limit = r.ContentLength
	}
	if !e.handler.memory.reserve(limit) {
		return nil, errNoMemory
	}
	e.held += limit
	controller := http.NewResponseController(e.w)
	stop := context.AfterFunc(e.ctx, func() {
		// A deadline in the past ends the read. On a server without read deadlines,
		// the read ends with the connection.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		if cause := context.Cause(e.ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLarge
	}
	return &bodySource{data: data, buffered: true, length: int64(len(data))}, nil
}
