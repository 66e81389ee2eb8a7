package platform

// maxOperations is the number of operations to which Consul limits a transaction.
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

// transact applies all operations at one new index and returns nil. If any operation
// fails, transact applies none and returns the errors.
func (s *store) transact(operations []operation) []operationError {
	var failed []operationError
	for i, o := range operations {
		if reason := s.checkOperation(o.KV); reason != "" {
			failed = append(failed, operationError{OpIndex: i, What: reason})
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
			s.delete(o.KV.Key, s.index)
		}
	}
	return nil
}

// checkOperation returns the reason why an operation fails, or "". The operations of
// a transaction must concern different keys, because each of them is checked
// against the state before the transaction.
func (s *store) checkOperation(o kvOperation) string {
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
