package exchange

import (
	"math"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// speedPlaces is how many servers' outcomes take as much of a datagram as the observations of one
// server's speed, at most 18 bytes and 8 for the server.
const speedPlaces = 2

const (
	// maxSpeedsAtOnce is how many servers' observations a hub relays in each update. With more, it
	// relays those of each server in one of speedTurns updates, added up.
	maxSpeedsAtOnce = 40
	speedTurns      = 5
)

// splitByTurn returns the observations that a hub relays now, and those that wait. Rejections don't
// wait: the time for which they count is shorter.
func splitByTurn(list []balance.SpeedCounts, turn uint64) (now, later []balance.SpeedCounts) {
	if len(list) <= maxSpeedsAtOnce {
		return list, nil
	}
	for i := range list {
		if list[i].Rejections > 0 || list[i].Server%speedTurns == turn%speedTurns {
			now = append(now, list[i])
		} else {
			later = append(later, list[i])
		}
	}
	return now, later
}

// addSpeeds adds the first of the observations to a datagram with places left for outcomes, and returns
// the others.
func (e *encoder) addSpeeds(list []balance.SpeedCounts, places int) []balance.SpeedCounts {
	n := min(len(list), places/speedPlaces)
	for i := range list[:n] {
		c := &list[i]
		e.message.Paced = append(e.message.Paced, e.indexOf(c.Server))
		e.message.PacedResponses = append(e.message.PacedResponses, uint32(c.Responses))
		e.message.PacedSlowdowns = append(e.message.PacedSlowdowns, int32(c.LogSlowdown))
		e.message.PacedReports = append(e.message.PacedReports, uint32(c.Reports))
		e.message.PacedReported = append(e.message.PacedReported, int32(c.LogPace))
		e.message.PacedRejections = append(e.message.PacedRejections, uint32(c.Rejections))
	}
	return list[n:]
}

// decodeSpeeds returns the observations in a datagram without invalid entries. The balancer checks the
// values.
func decodeSpeeds(message *exchangepb.Told) []balance.SpeedCounts {
	servers := message.GetServers()
	var list []balance.SpeedCounts
	complete := min(len(message.GetPacedResponses()), len(message.GetPacedSlowdowns()), len(message.GetPacedReports()),
		len(message.GetPacedReported()), len(message.GetPacedRejections()))
	for i, index := range message.GetPaced() {
		if i >= complete || int(index) >= len(servers) {
			continue
		}
		list = append(list, balance.SpeedCounts{
			Server:      servers[index],
			Responses:   int(message.GetPacedResponses()[i]),
			LogSlowdown: int(message.GetPacedSlowdowns()[i]),
			Reports:     int(message.GetPacedReports()[i]),
			LogPace:     int(message.GetPacedReported()[i]),
			Rejections:  int(message.GetPacedRejections()[i]),
		})
	}
	return list
}

// addSpeeds adds more observations to a list by server.
func addSpeeds(list, more []balance.SpeedCounts) []balance.SpeedCounts {
	return addSpeedsUpTo(math.MaxInt, list, more)
}

// queueSpeeds adds more observations to a list by server, as far as a hub has room for servers.
func queueSpeeds(list, more []balance.SpeedCounts) []balance.SpeedCounts {
	return addSpeedsUpTo(maxQueued, list, more)
}

func addSpeedsUpTo(limit int, list, more []balance.SpeedCounts) []balance.SpeedCounts {
	if len(more) == 0 {
		return list
	}
	indexes := make(map[uint64]int, len(list))
	for i := range list {
		indexes[list[i].Server] = i
	}
	for i := range more {
		index, known := indexes[more[i].Server]
		switch {
		case known:
			list[index].Add(&more[i])
		case len(list) < limit:
			indexes[more[i].Server] = len(list)
			list = append(list, more[i])
		}
	}
	return list
}
