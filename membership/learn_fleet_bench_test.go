package membership

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// BenchmarkLearnFleet receives the packets that announce the boxes of a fleet to a starting router,
// each of them twice.
func BenchmarkLearnFleet(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var packets [][]byte
			for first := 0; first < size; first += maxUpdatesInResponse {
				packet := &memberpb.Packet{
					Kind: memberpb.Kind_KIND_NEWS,
					From: "r0",
				}
				for i := first; i < min(first+maxUpdatesInResponse, size); i++ {
					packet.News = append(packet.News, &memberpb.News{
						Id:         fmt.Sprintf("frontend-dc-%d", i),
						Address:    "10.1.0.9:7020",
						DataCentre: "dc",
					})
				}
				encoded, _ := proto.Marshal(packet)
				packets = append(packets, encoded)
			}
			for b.Loop() {
				n := newTestNode()
				n.CatchUp = true
				for _, packet := range packets {
					n.Receive("10.1.0.9:7020", packet)
					n.Receive("10.1.0.9:7020", packet)
				}
			}
		})
	}
}
