package node

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// serviceContract holds the part of the customer's contract that applies to the service
// of this sidecar. It is safe for concurrent use.
type serviceContract struct {
	customer, name string

	mutex      sync.Mutex
	store      *contract.Store
	current    contract.Service
	inContract bool
}

func newServiceContract(customer, name string) *serviceContract {
	return &serviceContract{customer: customer, name: name, store: contract.NewStore()}
}

// apply brings a contract document into effect if it belongs to the customer and is
// newer than the one in effect. It reports whether it did.
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
	s.current, s.inContract = findService(d, s.name)
	return true, nil
}

func findService(d contract.Document, name string) (contract.Service, bool) {
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

// service returns the service as the contract in effect defines it. Without a contract,
// the service has no kinds of work, so that every request is of an unknown kind.
func (s *serviceContract) service() contract.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// namesService reports whether the contract in effect names the service.
func (s *serviceContract) namesService() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inContract
}
