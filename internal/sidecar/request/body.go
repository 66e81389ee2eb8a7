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
	maxTicketedBody = 1 << 20
	// maxReplayedBody is the size up to which the body of another request is kept
	// for a retry.
	maxReplayedBody = 64 << 10
)

var (
	errBodyTooLarge = errors.New("request body is too large")
	errBodyEnded    = errors.New("request body belongs to an attempt that has ended")
)

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
	b.source.mutex.Lock()
	b.source.used = true
	b.source.mutex.Unlock()
	b.mutex.Unlock()
	return b.source.stream.Read(p)
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
func openSource(ctx context.Context, w http.ResponseWriter, r *http.Request) (*source, error) {
	if r.ContentLength < 0 || r.ContentLength > maxReplayedBody {
		return &source{stream: r.Body, length: r.ContentLength}, nil
	}
	return readSource(ctx, w, r, maxReplayedBody)
}

// readSource reads a body of at most limit bytes. The error is errBodyTooLarge,
// the cause of the end of ctx, or a failure of the client.
func readSource(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) (*source, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.Body == nil {
		return &source{kept: true}, nil
	}
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		// Any time in the past ends the read. A server without read deadlines ends
		// it with the connection.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLarge
	}
	return &source{data: data, kept: true, length: int64(len(data))}, nil
}
