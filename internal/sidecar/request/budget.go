package request

import "sync"

const (
	// attemptsPerRetry limits retries to 10% of first attempts, so that they
	// cannot turn a failure into an overload.
	attemptsPerRetry = 10
	// maxRetries limits the retries that a quiet time saves up.
	maxRetries = 10
)

// budget limits retries. It is safe for concurrent use.
type budget struct {
	mutex    sync.Mutex
	attempts int
}

// attempt counts a first attempt.
func (b *budget) attempt() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempts = min(b.attempts+1, attemptsPerRetry*maxRetries)
}

// take reports whether a retry is permitted, and counts it.
func (b *budget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.attempts < attemptsPerRetry {
		return false
	}
	b.attempts -= attemptsPerRetry
	return true
}
