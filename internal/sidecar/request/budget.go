package request

import "sync"

const (
	// attemptsPerRetry limits retries to 10% of first attempts, so that they cannot
	// turn a failure into an overload.
	attemptsPerRetry = 10
	// maxRetries is the maximum number of retries that can be saved up while none are
	// needed.
	maxRetries = 10
)

// retryBudget limits retries to a fraction of first attempts. It is safe for
// concurrent use.
type retryBudget struct {
	mutex sync.Mutex
	// attempts is the number of first attempts that no retry has used up.
	attempts int
}

// recordAttempt counts a first attempt.
func (b *retryBudget) recordAttempt() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempts = min(b.attempts+1, attemptsPerRetry*maxRetries)
}

// take reports whether a retry is allowed. If it is, take deducts it from the
// budget.
func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.attempts < attemptsPerRetry {
		return false
	}
	b.attempts -= attemptsPerRetry
	return true
}
