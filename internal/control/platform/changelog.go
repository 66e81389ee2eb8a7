package platform

import (
	"encoding/json"
	"fmt"
)

const (
	// changeLogKey holds the change log, which each write of a contract extends.
	// The service answers a watch of contracts/ with all values, 1.5 MB for 1,300
	// services; a watch of the log takes 571 bytes a second while nothing changes.
	changeLogKey = "contract-changes"
	// changeLogLength is how many changes a watch may miss between two responses
	// before it reads all contracts.
	changeLogLength = 8
)

// changeLog names the customers of the newest changes.
type changeLog struct {
	// Sequence counts all changes.
	Sequence uint64 `json:"sequence"`
	// Customers are those of the last changes, newest last.
	Customers []string `json:"customers"`
}

// parseChangeLog reads a change log; without data it is empty. The log only says
// what to read, so one that is damaged is replaced by an empty one.
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

// with returns the log after one more change.
func (l changeLog) with(customer string) changeLog {
	customers := append(l.Customers[:len(l.Customers):len(l.Customers)], customer)
	if len(customers) > changeLogLength {
		customers = customers[len(customers)-changeLogLength:]
	}
	return changeLog{Sequence: l.Sequence + 1, Customers: customers}
}

// since returns the customers changed after sequence, and false if the log does
// not reach back so far.
func (l changeLog) since(sequence uint64) ([]string, bool) {
	if l.Sequence < sequence || l.Sequence-sequence > uint64(len(l.Customers)) {
		return nil, false
	}
	return l.Customers[uint64(len(l.Customers))-(l.Sequence-sequence):], true
}
