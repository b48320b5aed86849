package exchange

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

// TestSpeedsFitOnePacket guards against observations that are lost, or datagrams of more than a packet,
// in an update with 200 servers' observations of the largest size besides as many counts and events.
func TestSpeedsFitOnePacket(t *testing.T) {
	const maxBytes, each = 1400, 200
	limit := int(100 * math.Log(100))
	full, speeds := balance.Update{}, balance.Update{}
	for i := range uint64(each) {
		speeds.Speeds = append(speeds.Speeds, balance.SpeedCounts{
			Server:      i << 43,
			Responses:   1000,
			LogSlowdown: -1000 * limit,
			Reports:     1000,
			LogPace:     1000 * limit,
			Rejections:  1000,
		})
		full.CachedParts = append(full.CachedParts, balance.CachedPart{
			Part:   ^i,
			Server: i << 40,
		})
		full.Outcomes = append(full.Outcomes, balance.OutcomeCounts{
			Server: i << 41,
			Good:   maxOutcomeCount,
			Failed: maxOutcomeCount,
		})
		full.Leaving = append(full.Leaving, i<<42)
	}
	full.Speeds = speeds.Speeds
	syncers, _ := newSyncers(1)
	for _, update := range []balance.Update{full, speeds} {
		var got []balance.SpeedCounts
		for _, packet := range syncers[0].encode(exchangepb.Scope_SCOPE_OWN, false, update) {
			if len(packet) > maxBytes {
				t.Errorf("got a datagram of %d bytes, want at most %d", len(packet), maxBytes)
			}
			message := &exchangepb.Told{}
			if err := proto.Unmarshal(packet, message); err != nil {
				t.Fatal(err)
			}
			got = append(got, decode(message).Speeds...)
		}
		if len(got) != each || got[0] != speeds.Speeds[0] || got[each-1] != speeds.Speeds[each-1] {
			t.Errorf("got %d observations, want %d as they were sent", len(got), each)
		}
	}
}

// TestInvalidSpeedsAreDropped guards against lists that are too short, and indexes that are out of
// range.
func TestInvalidSpeedsAreDropped(t *testing.T) {
	message := &exchangepb.Told{
		Servers:         []uint64{7},
		Paced:           []uint32{0, 1, 0},
		PacedResponses:  []uint32{1, 2, 3},
		PacedSlowdowns:  []int32{5, 5, 5},
		PacedReports:    []uint32{1, 1, 1},
		PacedReported:   []int32{5, 5, 5},
		PacedRejections: []uint32{0, 0, 0},
	}
	if got := decode(message).Speeds; len(got) != 2 || got[0].Responses != 1 || got[1].Responses != 3 {
		t.Errorf("got %+v with an index out of range, want the first and the third", got)
	}
	message.Paced, message.PacedReported = []uint32{0, 0}, []int32{5}
	if got := decode(message).Speeds; len(got) != 1 {
		t.Errorf("got %d observations with a short list, want the first", len(got))
	}
	message.PacedReported = nil
	if got := decode(message).Speeds; len(got) != 0 {
		t.Errorf("got %d observations without a list, want none", len(got))
	}
}

// paceOf returns the slow estimate of the pace of engine-0 at a router.
func paceOf(s *Syncer) float64 {
	for _, state := range s.Balancer.States() {
		if state.ID == "engine-0" {
			return state.PaceSlow
		}
	}
	return 0
}

// TestSpeedsReachAllRouters guards against observations that hubs don't relay: one of 3, 62 and 330
// routers hears 50 times that an engine is three times slower. Another router of the fleet sends
// updates of the earlier version, which have no observations.
func TestSpeedsReachAllRouters(t *testing.T) {
	for _, size := range []int{3, 62, 330} {
		synctest.Test(t, func(t *testing.T) {
			syncers, network := newSyncersIn(3, size)
			ctx, cancel := context.WithCancel(t.Context())
			for _, syncer := range syncers {
				syncer.Balancer.SetSpeedAware(true)
				go syncer.Run(ctx)
			}
			time.Sleep(2 * updateInterval)
			reports := 0
			for key := uint64(0); reports < 50; key++ {
				lease := acquire(t, syncers[1].Balancer, key)
				if lease.Backend.ID == "engine-0" {
					syncers[1].Balancer.RecordLoad(lease, balance.Load{
						Slots: 6,
						Pace:  300,
					})
					reports++
				}
				syncers[1].Balancer.Abandon(lease)
			}
			earlier, err := proto.Marshal(&exchangepb.Told{
				From:     "0",
				Sequence: math.MaxUint64,
				Scope:    exchangepb.Scope_SCOPE_NONE,
			})
			if err != nil {
				t.Fatal(err)
			}
			syncers[1].Receive("", earlier)
			time.Sleep(5 * updateInterval)
			cancel()
			synctest.Wait()
			for i, syncer := range syncers {
				if got := paceOf(syncer); got < 200 || got > 300 {
					t.Fatalf("%d routers: got a pace of %.0f at router %d, want 200 to 300", size, got, i)
				}
			}
			if network.maxPacket > 1400 {
				t.Errorf("got a datagram of %d bytes, want 1,400 at most", network.maxPacket)
			}
		})
	}
}

// TestBytesOfSpeeds counts what the observations of a fleet's engines add to what a hub sends to each
// router of its group: of 232, 465 and 930 engines a quarter are slow and have 4 requests each in an
// update. No observation may be lost, and a rejection may not wait.
func TestBytesOfSpeeds(t *testing.T) {
	syncers, _ := newSyncers(1)
	for _, engines := range []int{232, 465, 930} {
		var waiting []balance.SpeedCounts
		const updates = 50
		bytes, got, want := 0, 0, 0
		for turn := range uint64(updates) {
			var heard []balance.SpeedCounts
			for i := range engines / 4 {
				heard = append(heard, balance.SpeedCounts{
					Server:      placement.IDHash(fmt.Sprint(i)),
					Responses:   4,
					LogSlowdown: 4 * 91,
					Reports:     4,
					LogPace:     4 * 92,
				})
				want += 4
			}
			heard[turn].Rejections = 1
			var now []balance.SpeedCounts
			now, waiting = splitByTurn(addSpeeds(waiting, heard), turn)
			isRejected := false
			for i := range now {
				got += now[i].Responses
				isRejected = isRejected || now[i].Rejections > 0
			}
			if !isRejected {
				t.Errorf("%d engines: got no rejection in update %d, want it at once", engines, turn)
			}
			update := balance.Update{
				Speeds: now,
			}
			for _, packet := range syncers[0].encode(exchangepb.Scope_SCOPE_FLEET, false, update) {
				bytes += len(packet)
			}
		}
		for i := range waiting {
			got += waiting[i].Responses
		}
		if got != want {
			t.Errorf("%d engines: got %d responses relayed or waiting, want %d", engines, got, want)
		}
		perSecond := bytes * int(time.Second/updateInterval) / updates
		t.Logf("%d engines: %d bytes a second", engines, perSecond)
		if limit := 6000; perSecond > limit {
			t.Errorf("%d engines: got %d bytes a second, want %d at most", engines, perSecond, limit)
		}
	}
}
