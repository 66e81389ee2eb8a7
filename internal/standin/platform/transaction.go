package platform

// maxOperations is the limit of Consul for one transaction.
const maxOperations = 64

type operation struct {
	KV kvOperation
}

type kvOperation struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type operationError struct {
	OpIndex int
	What    string
}

type transactionResult struct {
	Results []any
	Errors  []operationError
}

// transact applies all operations at one index, or none of them.
func (s *store) transact(operations []operation) []operationError {
	var failed []operationError
	for i, o := range operations {
		if what := s.check(o.KV); what != "" {
			failed = append(failed, operationError{OpIndex: i, What: what})
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.index++
	for _, o := range operations {
		switch o.KV.Verb {
		case "set", "cas":
			s.set(o.KV.Key, o.KV.Value, s.index)
		case "delete", "delete-cas":
			s.remove(o.KV.Key, s.index)
		}
	}
	return nil
}

// check returns why an operation fails, or "". Operations of one transaction
// must concern different keys, because each is checked against the state before.
func (s *store) check(o kvOperation) string {
	e, exists := s.entries[o.Key]
	switch o.Verb {
	case "set", "delete":
		return ""
	case "cas", "delete-cas", "check-index":
		if e.ModifyIndex != o.Index {
			return "index is stale"
		}
	case "check-not-exists":
		if exists {
			return "key exists"
		}
	default:
		return "unknown verb " + o.Verb
	}
	return ""
}
