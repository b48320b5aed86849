package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// sameConnections has an idle connection to all servers or to none.
type sameConnections bool

func (s sameConnections) HasIdleConnection(string, time.Duration) bool { return bool(s) }

// BenchmarkAcquirePlain measures choices among the servers of a plain service: without regard to
// connections, with a connection to the drawn server, and with none at a router with few requests, so
// that it looks for the server that it prefers.
func BenchmarkAcquirePlain(b *testing.B) {
	for _, servers := range []int{4, 300, 930} {
		for _, speedAware := range []bool{false, true} {
			for name, connections := range map[string]slipwick.ConnectionSource{
				"without":     nil,
				"connected":   sameConnections(true),
				"unconnected": sameConnections(false),
			} {
				b.Run(fmt.Sprintf("%d servers, by speed %v, %s", servers, speedAware, name), func(b *testing.B) {
					balancer := newTestBalancer(servers)
					balancer.SetSpeedAware(speedAware)
					balancer.SetPeers([]string{"fleet"}, 294)
					balancer.Connections = connections
					balancer.SetPosition(100, 295)
					balancer.SetPreferConnected(true)
					var list []InFlight
					for _, s := range balancer.pools["p"] {
						list = append(list, InFlight{
							Server: s.hash,
							Count:  3,
						})
					}
					balancer.ReceiveCounts("fleet", 1, list)
					request := &Request{
						Pool:        "p",
						MaxIdleTime: time.Microsecond,
					}
					b.ReportAllocs()
					for b.Loop() {
						balancer.timingsLocked("p").sendRate = sendRate{}
						lease, err := balancer.Acquire(request)
						if err != nil {
							b.Fatal(err)
						}
						balancer.Release(lease, slipwick.EvidenceNone)
					}
				})
			}
		}
	}
}
