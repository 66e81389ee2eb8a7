package node

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// serviceContract holds the part of the customer's contract that is about this
// sidecar's service. It is safe for concurrent use.
type serviceContract struct {
	customer, name string

	mutex   sync.Mutex
	store   *contract.Store
	current contract.Service
	found   bool
}

func newServiceContract(customer, name string) *serviceContract {
	return &serviceContract{customer: customer, name: name, store: contract.NewStore()}
}

// apply brings a document into effect if it is newer. It reports whether it did.
func (s *serviceContract) apply(customer string, data []byte) (bool, error) {
	if customer != s.customer {
		return false, nil
	}
	d, err := contract.ParseDocument(customer, data)
	if err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.store.Apply(d) {
		return false, nil
	}
	s.current, s.found = find(d, s.name)
	return true, nil
}

func find(d contract.Document, name string) (contract.Service, bool) {
	c, ok := d.Contract()
	if !ok {
		return contract.Service{}, false
	}
	for _, service := range c.Services() {
		if service.Name() == name {
			return service, true
		}
	}
	return contract.Service{}, false
}

// service returns the service in effect. Without a contract it has no kinds of
// work, and every request is unknown.
func (s *serviceContract) service() contract.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

func (s *serviceContract) inEffect() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.found
}
