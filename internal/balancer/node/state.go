package node

import (
	"sync"

	"github.com/orioledyke/orioledyke/internal/balancer/client"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"go.uber.org/zap"
)

// state applies members and contracts to the forwarder. The control plane calls the
// apply methods from one goroutine.
type state struct {
	forwarder *client.Forwarder
	logger    *zap.Logger

	mutex     sync.Mutex
	contracts *contract.Store
	inEffect  map[string]uint64
	openError error
}

func newState(forwarder *client.Forwarder, logger *zap.Logger) *state {
	return &state{forwarder: forwarder, logger: logger, contracts: contract.NewStore(), inEffect: map[string]uint64{}}
}

func (s *state) applyMembers(changed []membership.Record, removed []identity.OwnerID) {
	members := make([]routing.Member, len(changed))
	for i, r := range changed {
		members[i] = routing.Member{Owner: r.ID(), Service: r.ServiceID(), Tunnel: r.Tunnel(), Weight: r.Weight()}
		s.logger.Info("member-changed", zap.Stringer("id", r.ID()), zap.Stringer("state", r.State()),
			zap.String("service", r.Customer()+"/"+r.Service()), zap.Int("weight", r.Weight()))
	}
	for _, owner := range removed {
		s.logger.Info("member-removed", zap.Stringer("id", owner))
	}
	s.forwarder.SetTable(s.forwarder.Table().With(members, removed))
}

func (s *state) applyContract(customer string, revision uint64, document []byte) {
	d, err := contract.ParseDocument(customer, document)
	if err != nil {
		// A newer version of the program may write a contract that this version cannot
		// read. The contract in effect is kept.
		s.logger.Error("contract-unreadable", zap.String("customer", customer), zap.Uint64("revision", revision), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.contracts.Apply(d) {
		return
	}
	s.logger.Info("contract-applied", zap.String("customer", customer), zap.Uint64("revision", d.Revision()), zap.Bool("deleted", d.Deleted()))
	s.openServices()
	if s.openError == nil {
		s.inEffect[customer] = d.Revision()
	}
}

// revision returns the last revision of a customer's contract that was applied while
// all service addresses were open, or 0 if there is none.
func (s *state) revision(customer string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inEffect[customer]
}

// document returns the document of a customer that was applied last, and false if there
// is none.
func (s *state) document(customer string) (contract.Document, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.contracts.Document(customer)
}

// openServices opens the service addresses of all contracts in effect. If a port cannot
// be opened, this balancer is not ready, so that the fabric sends to other balancers.
// The caller must hold the mutex.
func (s *state) openServices() {
	services := map[identity.ServiceID]client.Service{}
	for _, d := range s.contracts.Documents() {
		if c, ok := d.Contract(); ok {
			for _, service := range c.Services() {
				services[service.ID()] = client.Service{Port: service.Port(), MaxFlows: service.Flows()}
			}
		}
	}
	err := s.forwarder.SetServices(services)
	if err != nil {
		s.logger.Error("service-address-unavailable", zap.Error(err))
	}
	s.openError = err
}

func (s *state) hasUnopenedAddress() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.openError != nil
}
