package commands

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/peer"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"golang.org/x/sync/errgroup"
)

const (
	statusTimeout = 3 * time.Second
	// maxStatusRequests limits the concurrent connections of one command.
	maxStatusRequests = 32
)

// balancerStatuses requests the list of balancers from the seed, and then the revision
// of the customer's contract from each of them.
func balancerStatuses(ctx context.Context, seed netip.AddrPort, keys *keyring.Store, customer string) ([]BalancerStatus, error) {
	seedCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	known, err := peer.Status(seedCtx, keys, seed)
	if err != nil {
		return nil, err
	}
	members := slices.DeleteFunc(known.GetMembers(), func(m *controlpb.Member) bool {
		return m.GetRole() != controlpb.Role_ROLE_BALANCER || m.GetState() >= controlpb.State_STATE_LEFT
	})
	slices.SortFunc(members, func(a, b *controlpb.Member) int {
		return strings.Compare(a.GetDataCentre()+"/"+a.GetHost(), b.GetDataCentre()+"/"+b.GetHost())
	})
	statuses := make([]BalancerStatus, len(members))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i, m := range members {
		group.Go(func() error {
			statuses[i] = queryBalancer(ctx, m, keys, customer)
			return nil
		})
	}
	// The entries contain the errors of individual balancers.
	_ = group.Wait()
	return statuses, nil
}

func queryBalancer(ctx context.Context, m *controlpb.Member, keys *keyring.Store, customer string) BalancerStatus {
	status := BalancerStatus{Host: m.GetHost(), DataCentre: m.GetDataCentre()}
	address, err := netip.ParseAddrPort(m.GetControl())
	if err != nil {
		status.Err = fmt.Errorf("control address %q is not an IP address and port", m.GetControl())
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status.Response, status.Err = peer.ContractStatus(ctx, keys, address, customer)
	return status
}
