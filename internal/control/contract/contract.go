// Package contract defines the contracts that operators write. A customer has
// one contract, with its services, kinds of work and limits.
package contract

import (
	"encoding/json"

	"github.com/goccy/go-yaml"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// Contract is the configuration of one customer. It is immutable.
type Contract struct {
	document document
}

// Service is one service of a customer, with its port, limits and kinds of
// work.
type Service struct {
	customer string
	document serviceDocument
}

// Kind is one kind of work of a service, with the requests that it matches and
// its limits.
type Kind struct {
	document kindDocument
}

type document struct {
	Customer string            `json:"customer" yaml:"customer"`
	Services []serviceDocument `json:"services" yaml:"services"`
}

type serviceDocument struct {
	Name  string         `json:"name" yaml:"name"`
	Port  uint16         `json:"port" yaml:"port"`
	Slots int            `json:"slots" yaml:"slots"`
	Flows int            `json:"flows" yaml:"flows"`
	Kinds []kindDocument `json:"kinds" yaml:"kinds"`
}

type kindDocument struct {
	Name            string  `json:"name" yaml:"name"`
	Method          string  `json:"method" yaml:"method"`
	PathPrefix      string  `json:"path-prefix" yaml:"path-prefix"`
	Urgency         int     `json:"urgency" yaml:"urgency"`
	GuaranteedShare float64 `json:"guaranteed-share" yaml:"guaranteed-share"`
	Ceiling         float64 `json:"ceiling" yaml:"ceiling"`
	DeadlineMillis  int64   `json:"deadline-ms" yaml:"deadline-ms"`
	Repeatable      bool    `json:"repeatable" yaml:"repeatable"`
	Stream          bool    `json:"stream" yaml:"stream"`
}

// Customer returns the name of the customer.
func (c Contract) Customer() string { return c.document.Customer }

// Services returns the services in the order of the contract.
func (c Contract) Services() []Service {
	services := make([]Service, len(c.document.Services))
	for i, s := range c.document.Services {
		services[i] = Service{customer: c.document.Customer, document: s}
	}
	return services
}

// Service returns the service with the given name, and false if there is none.
func (c Contract) Service(name string) (Service, bool) {
	for _, s := range c.document.Services {
		if s.Name == name {
			return Service{customer: c.document.Customer, document: s}, true
		}
	}
	return Service{}, false
}

// Ports returns the ports of all services in the order of the contract.
func (c Contract) Ports() []uint16 {
	ports := make([]uint16, len(c.document.Services))
	for i, s := range c.document.Services {
		ports[i] = s.Port
	}
	return ports
}

// MarshalJSON returns the contract in a form that Parse accepts.
func (c Contract) MarshalJSON() ([]byte, error) {
	return json.Marshal(c.document)
}

// MarshalYAML returns the contract in a form that Parse accepts.
func (c Contract) MarshalYAML() ([]byte, error) {
	return yaml.Marshal(c.document)
}

// ID returns the identifier of the service in connection IDs and tunnel
// datagrams.
func (s Service) ID() identity.ServiceID {
	return identity.NewServiceID(s.customer, s.document.Name)
}

// Customer returns the name of the customer to which the service belongs.
func (s Service) Customer() string { return s.customer }

// Name returns the name of the service, which is unique within the contract.
func (s Service) Name() string { return s.document.Name }

// Port returns the UDP port of the service, which is the same at every entry
// address.
func (s Service) Port() uint16 { return s.document.Port }

// Slots returns how many requests each upstream processes at a time.
func (s Service) Slots() int { return s.document.Slots }

// Flows returns the maximum number of flows that each sidecar holds.
func (s Service) Flows() int { return s.document.Flows }

// Kinds returns the kinds of work in the order of the contract.
func (s Service) Kinds() []Kind {
	kinds := make([]Kind, len(s.document.Kinds))
	for i, k := range s.document.Kinds {
		kinds[i] = Kind{document: k}
	}
	return kinds
}

// Name returns the name of the kind, which is unique within the service.
func (k Kind) Name() string { return k.document.Name }

// Method returns the HTTP method that the kind matches.
func (k Kind) Method() string { return k.document.Method }

// PathPrefix returns the path prefix that the kind matches in whole segments.
// It has no trailing slash unless it is "/".
func (k Kind) PathPrefix() string { return k.document.PathPrefix }

// Urgency returns the priority, from 0 to MaxUrgency, with which the kind takes
// spare slots. The higher urgency goes first.
func (k Kind) Urgency() int { return k.document.Urgency }

// GuaranteedShare returns the fraction of slots that is always available to the
// kind, from 0 to 1.
func (k Kind) GuaranteedShare() float64 { return k.document.GuaranteedShare }

// Ceiling returns the maximum fraction of slots that the kind may take, from 0
// to 1.
func (k Kind) Ceiling() float64 { return k.document.Ceiling }

// Deadline returns how long a client waits for the response.
func (k Kind) Deadline() clock.Millis { return clock.Millis(k.document.DeadlineMillis) }

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k.document.Repeatable }

// Stream reports whether the response stays open. Such a request takes no slot.
func (k Kind) Stream() bool { return k.document.Stream }
