package membership

// queue holds each key at most once, in the order of addition.
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

// drop leaves the key in the order, from which pop removes it.
func (q *queue[K]) drop(key K) { delete(q.held, key) }

func (q *queue[K]) empty() bool { return len(q.held) == 0 }

// pop returns the oldest key that was not dropped.
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
