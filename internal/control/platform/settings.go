package platform

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

// FromSettings returns a Client for the platform named in the settings.
func FromSettings(s settings.Platform, logger *zap.Logger) (*Client, error) {
	config := Config{
		Address: s.Address,
		Report:  func(err error) { logger.Warn("platform-call-failed", zap.Error(err)) },
	}
	if s.TokenFile != "" {
		token, err := os.ReadFile(s.TokenFile)
		if err != nil {
			return nil, oops.Code("token-unreadable").Wrapf(err, "read platform.token-file")
		}
		config.Token = strings.TrimSpace(string(token))
	}
	return New(config), nil
}

// SeedAddresses returns the control addresses of the balancers that the
// platform lists, followed by the configured ones. It returns an error only if
// the platform cannot be read and no address is configured.
func (c *Client) SeedAddresses(ctx context.Context, configured []netip.AddrPort) ([]netip.AddrPort, error) {
	seeds, err := c.Seeds(ctx)
	if err != nil && len(configured) == 0 {
		return nil, err
	}
	addresses := make([]netip.AddrPort, 0, len(seeds)+len(configured))
	for _, seed := range seeds {
		addresses = append(addresses, seed.Address())
	}
	return append(addresses, configured...), nil
}
