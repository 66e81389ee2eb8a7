package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// Watched returns the members that b watches, in order of their IDs.
func (b *Balancer) Watched() []identity.OwnerID { return slices.Sorted(maps.Keys(b.watched)) }
