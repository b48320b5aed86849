package exchange

import (
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quota"
)

// recordMemberLocked records the outcomes and observations of speed that a router of the group sent.
func (s *Syncer) recordMemberLocked(id string, outcomes []balance.OutcomeCounts, speeds []balance.SpeedCounts) {
	if len(outcomes)+len(speeds) == 0 {
		return
	}
	member := s.memberEvents[id]
	if member == nil {
		member = &balance.Update{}
		s.memberEvents[id] = member
	}
	member.Outcomes = append(member.Outcomes, outcomes...)
	member.Speeds = queueSpeeds(member.Speeds, speeds)
}

// splitMembers divides what each router of the group sent into what is part of this update and the
// observations of servers whose sums wait for a later one.
func splitMembers(
	members map[string]*balance.Update, waiting []balance.SpeedCounts,
) (now, later map[string]*balance.Update) {
	if len(waiting) == 0 {
		return members, make(map[string]*balance.Update)
	}
	waits := make(map[uint64]bool, len(waiting))
	for i := range waiting {
		waits[waiting[i].Server] = true
	}
	now, later = make(map[string]*balance.Update, len(members)), make(map[string]*balance.Update)
	for id, member := range members {
		now[id] = &balance.Update{
			Outcomes: member.Outcomes,
		}
		for i := range member.Speeds {
			of := now
			if waits[member.Speeds[i].Server] {
				of = later
			}
			if of[id] == nil {
				of[id] = &balance.Update{}
			}
			of[id].Speeds = append(of[id].Speeds, member.Speeds[i])
		}
	}
	return now, later
}

// sendToGroup sends the counts and events of the fleet to the routers of the group, to each of them
// without its own outcomes and observations of speed. The datagrams that only have counts are the
// same for all.
func (s *Syncer) sendToGroup(
	group []slipwick.Router, update balance.Update, usage []quota.Entry, members map[string]*balance.Update,
) {
	r := s.newRound(exchangepb.Scope_SCOPE_FLEET, false, update, usage)
	var counts [][]byte
	for !r.isDone() {
		if _, hasEvents := r.countsInNext(); hasEvents {
			break
		}
		counts = append(counts, r.encodeNext())
	}
	all := *r
	rest := all.encodeRest()
	sequence := all.sequence
	for _, router := range group {
		packets := rest
		if own := members[router.ID]; own != nil {
			others := *r
			others.update.Outcomes = subtractOutcomes(update.Outcomes, own.Outcomes)
			others.update.Speeds = subtractSpeeds(update.Speeds, own.Speeds)
			packets = others.encodeRest()
		}
		receivers := []slipwick.Router{router}
		s.send(receivers, counts)
		s.send(receivers, packets)
	}
	s.sequence.Store(sequence)
}

// subtractOutcomes returns the outcomes without those of one router, which are entries of the list.
func subtractOutcomes(list, own []balance.OutcomeCounts) []balance.OutcomeCounts {
	if len(own) == 0 {
		return list
	}
	left := make(map[balance.OutcomeCounts]int, len(own))
	for _, o := range own {
		left[o]++
	}
	return slices.DeleteFunc(slices.Clone(list), func(o balance.OutcomeCounts) bool {
		if left[o] == 0 {
			return false
		}
		left[o]--
		return true
	})
}

// subtractSpeeds returns the sums without what one router contributed. A sum that reached its bound
// may lack a part of that; then nothing of the server's is left of it.
func subtractSpeeds(list, own []balance.SpeedCounts) []balance.SpeedCounts {
	if len(own) == 0 {
		return list
	}
	byServer := make(map[uint64]*balance.SpeedCounts, len(own))
	for i := range own {
		byServer[own[i].Server] = &own[i]
	}
	others := make([]balance.SpeedCounts, 0, len(list))
	for _, sum := range list {
		if mine := byServer[sum.Server]; mine != nil {
			sum.Responses, sum.LogSlowdown = subtractSum(sum.Responses, sum.LogSlowdown, mine.Responses, mine.LogSlowdown)
			sum.Reports, sum.LogPace = subtractSum(sum.Reports, sum.LogPace, mine.Reports, mine.LogPace)
			sum.Rejections = max(sum.Rejections-mine.Rejections, 0)
		}
		if sum.Responses+sum.Reports+sum.Rejections > 0 {
			others = append(others, sum)
		}
	}
	return others
}

func subtractSum(count, sum, ownCount, ownSum int) (othersCount, othersSum int) {
	if count <= ownCount {
		return 0, 0
	}
	return count - ownCount, sum - ownSum
}
