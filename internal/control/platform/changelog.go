package platform

import (
	"encoding/json"
	"fmt"
)

const (
	// changeLogKey is the key of the change log, which each write of a contract
	// extends. A watch of contracts/ would return all values, 1.5 MB for 1,300
	// services. A watch of the change log takes 571 bytes per second while
	// nothing changes.
	changeLogKey = "contract-changes"
	// changeLogLength is how many changes a watch may miss between two
	// responses before it reads all contracts.
	changeLogLength = 8
)

// changeLog lists the customers of the latest changes.
type changeLog struct {
	// Sequence is the number of all changes so far.
	Sequence uint64 `json:"sequence"`
	// Customers are those of the latest changes, newest last.
	Customers []string `json:"customers"`
}

// parseChangeLog decodes a change log. Without data, the log is empty. After an
// error the caller uses an empty log, because the log only determines what to
// read.
func parseChangeLog(data []byte) (changeLog, error) {
	var l changeLog
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return changeLog{}, fmt.Errorf("platform: %s: %w", changeLogKey, err)
	}
	return l, nil
}

func (l changeLog) encode() ([]byte, error) { return json.Marshal(l) }

// with returns the log extended by one change of the given customer's contract.
func (l changeLog) with(customer string) changeLog {
	customers := append(l.Customers[:len(l.Customers):len(l.Customers)], customer)
	if len(customers) > changeLogLength {
		customers = customers[len(customers)-changeLogLength:]
	}
	return changeLog{Sequence: l.Sequence + 1, Customers: customers}
}

// since returns the customers changed after sequence. It returns false if the
// log does not reach back that far.
func (l changeLog) since(sequence uint64) ([]string, bool) {
	if l.Sequence < sequence || l.Sequence-sequence > uint64(len(l.Customers)) {
		return nil, false
	}
	return l.Customers[uint64(len(l.Customers))-(l.Sequence-sequence):], true
}
