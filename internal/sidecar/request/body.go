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
	// maxTicketedBody limits the body of a request that may not be repeated. Such
	// a body is read before the request runs, because the ticket is bound to it.
	maxTicketedBody = 256 << 10
	// maxReplayedBody is the size up to which the body of another request is kept
	// for a retry.
	maxReplayedBody = 64 << 10
	// maxHeld limits all bodies that are held in memory at a time.
	maxHeld = 64 << 20
)

var (
	errBodyTooLarge = errors.New("request body is too large")
	errNoMemory     = errors.New("too many request bodies are held in memory")
	errBodyEnded    = errors.New("request body belongs to an attempt that has ended")
)

// memory limits the bodies that are held. It is safe for concurrent use.
type memory struct {
	mutex sync.Mutex
	held  int64
}

// reserve takes size bytes. It reports false if they are not free.
func (m *memory) reserve(size int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.held+size > maxHeld {
		return false
	}
	m.held += size
	return true
}

func (m *memory) free(size int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held -= size
}

// source is the body of a request for one or more attempts.
type source struct {
	// data holds the whole body if kept is set.
	data   []byte
	kept   bool
	length int64

	mutex  sync.Mutex
	stream io.Reader
	used   bool
}

// replayable reports whether another attempt can send the whole body.
func (s *source) replayable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.kept || !s.used
}

func (s *source) setUsed(used bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used = used
}

// open returns the body for one attempt.
func (s *source) open() io.ReadCloser {
	if s.kept && len(s.data) == 0 {
		return http.NoBody
	}
	return &attemptBody{source: s}
}

// attemptBody reads a source until it is closed. The transport can go on reading
// after an attempt has ended.
type attemptBody struct {
	source *source
	mutex  sync.Mutex
	offset int
	closed bool
	// got is set when a part of the stream has been read.
	got bool
}

// Read returns the next part of the body.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mutex.Lock()
	if b.closed {
		b.mutex.Unlock()
		return 0, errBodyEnded
	}
	if b.source.kept {
		defer b.mutex.Unlock()
		n := copy(p, b.source.data[b.offset:])
		b.offset += n
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	b.source.setUsed(true)
	b.mutex.Unlock()
	n, err := b.source.stream.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		// A request without Content-Length may have no body, as GET over HTTP/3.
		b.source.setUsed(b.got)
	}
	b.got = b.got || n > 0
	return n, err
}

// Close ends the use of the body by this attempt.
func (b *attemptBody) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
	return nil
}

// openSource prepares the body of a request that may be retried. Small bodies are
// read first, so that a slow client does not hold a slot.
func (e *exchange) openSource() (*source, error) {
	if e.r.ContentLength < 0 || e.r.ContentLength > maxReplayedBody {
		return &source{stream: e.r.Body, length: e.r.ContentLength}, nil
	}
	return e.readSource(maxReplayedBody)
}

// readSource reads a body of at most limit bytes. The error is errBodyTooLarge,
// errNoMemory, the cause of the end of the request, or a failure of the client.
func (e *exchange) readSource(limit int64) (*source, error) {
	r := e.r
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return &source{kept: true}, nil
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
		// Any time in the past ends the read. A server without read deadlines ends
		// it with the connection.
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
	return &source{data: data, kept: true, length: int64(len(data))}, nil
}
