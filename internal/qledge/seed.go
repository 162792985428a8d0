package qledge

import (
	"net"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

// peerAddresses returns the addresses for messages to the seeds' routers. Their
// port is that of this router, since ports are the same on all VMs. A seed that
// is not an address is logged and left out.
func peerAddresses(settings *qlsetting.Edge, log *zap.Logger) []string {
	_, port, err := net.SplitHostPort(settings.PeerAddress)
	if err != nil {
		log.Error("peer-address-invalid", zap.String("address", settings.PeerAddress), zap.Error(err))
		return nil
	}
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			log.Warn("seed-invalid", zap.String("seed", seed), zap.Error(err))
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses
}
