package membership

// queue is a FIFO queue that holds each key at most once.
type queue[K comparable] struct {
	keys []K
	held map[K]struct{}
}

func (q *queue[K]) add(key K) {
	if _, ok := q.held[key]; ok {
		return
	}
	if q.held == nil {
		q.held = map[K]struct{}{}
	}
	q.held[key] = struct{}{}
	q.keys = append(q.keys, key)
}

// drop removes a key from the queue. The key stays in keys until pop skips it.
func (q *queue[K]) drop(key K) { delete(q.held, key) }

func (q *queue[K]) empty() bool { return len(q.held) == 0 }

// pop removes and returns the oldest key, and returns false if the queue is
// empty.
func (q *queue[K]) pop() (K, bool) {
	for len(q.keys) > 0 {
		key := q.keys[0]
		q.keys = q.keys[1:]
		if _, ok := q.held[key]; ok {
			delete(q.held, key)
			return key, true
		}
	}
	q.keys, q.held = nil, nil
	var none K
	return none, false
}
