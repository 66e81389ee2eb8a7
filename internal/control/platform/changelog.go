package platform

import (
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// changeLogKey is the key of the change log, which each write of a contract
	// extends. A watch of contracts/ would return all values, 1.5 MB for 1,300
	// services. The change log has some hundred bytes.
	changeLogKey = "contract-changes"
	// changeLogLength is how many changes the log holds. A watch may miss one
	// less between two responses before it reads all contracts.
	changeLogLength = 8
	// shortIDLength is the length of the change identifiers in the log, which only
	// have to differ from the one that had the same sequence before a restore.
	shortIDLength = 8
)

// changeLog lists the latest changes.
type changeLog struct {
	// Sequence is the number of all changes so far. A store that is restored
	// from an older copy gives out sequences again.
	Sequence uint64 `json:"sequence"`
	// Customers are those of the latest changes, newest last. ChangeIDs are the
	// beginnings of their identifiers; older writers leave them out.
	Customers []string `json:"customers"`
	ChangeIDs []string `json:"change-ids,omitempty"`
}

// logPosition is a change in the log, up to which a watch has followed it.
type logPosition struct {
	sequence uint64
	changeID string
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
	if len(l.ChangeIDs) != len(l.Customers) {
		l.ChangeIDs = make([]string, len(l.Customers))
	}
	return l, nil
}

func (l changeLog) encode() ([]byte, error) { return json.Marshal(l) }

// with returns the log extended by one change of the given customer's contract.
func (l changeLog) with(customer, changeID string) changeLog {
	return changeLog{
		Sequence: l.Sequence + 1, Customers: appendNewest(l.Customers, customer),
		ChangeIDs: appendNewest(l.ChangeIDs, changeID[:min(len(changeID), shortIDLength)]),
	}
}

// appendNewest returns the newest changeLogLength elements of list and element.
func appendNewest(list []string, element string) []string {
	list = append(list[:len(list):len(list)], element)
	return list[max(len(list)-changeLogLength, 0):]
}

// last returns the position of the newest change.
func (l changeLog) last() logPosition {
	if len(l.ChangeIDs) == 0 {
		return logPosition{sequence: l.Sequence}
	}
	return logPosition{sequence: l.Sequence, changeID: l.ChangeIDs[len(l.ChangeIDs)-1]}
}

// since returns the customers changed after a position. It returns false if the
// log does not contain the change at that position, because there were too many
// changes or the store was restored from an older copy.
func (l changeLog) since(position logPosition) ([]string, bool) {
	if position.sequence == 0 {
		return l.Customers, l.Sequence == uint64(len(l.Customers))
	}
	missed := l.Sequence - position.sequence
	if l.Sequence < position.sequence || missed >= uint64(len(l.ChangeIDs)) {
		return nil, false
	}
	at := uint64(len(l.ChangeIDs)) - 1 - missed
	return l.Customers[at+1:], position.changeID != "" && l.ChangeIDs[at] == position.changeID
}

// sinceKnown returns the customers changed after the newest change that is one
// of known. It returns none if the log has no such change.
func (l changeLog) sinceKnown(known []string) []string {
	for i := len(l.ChangeIDs) - 1; i >= 0; i-- {
		if l.ChangeIDs[i] != "" && slices.Contains(known, l.ChangeIDs[i]) {
			return l.Customers[i+1:]
		}
	}
	return nil
}
