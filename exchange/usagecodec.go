package exchange

import (
	"math"
	"slices"
	"time"

	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quota"
)

const (
	// workUnit is the unit of the work in a datagram.
	workUnit = 50 * time.Millisecond
	// usagePriorities is the number of priorities that a class of an entry distinguishes; lower ones
	// count as the last.
	usagePriorities = 16
	// countBytes and maxEntryBytes are what a count and an entry take at most.
	countBytes, maxEntryBytes = 14, 24
	// maxUsageCount bounds each number accepted in an entry: far more than any pool has.
	maxUsageCount = 1 << 20
	// maxUsageEntries bounds the entries accepted from a datagram.
	maxUsageEntries = 256
)

// usageCounts returns how many counts the entries take the place of.
func usageCounts(entries []quota.Entry) int {
	return (len(entries)*maxEntryBytes/2 + countBytes - 1) / countBytes
}

func (e *encoder) addUsage(entries []quota.Entry) {
	pools := make(map[uint32]uint32)
	hasWeights, hasQueued := false, false
	for i := range entries {
		x := &entries[i]
		index, ok := pools[x.Pool]
		if !ok {
			index = uint32(len(pools))
			pools[x.Pool] = index
			e.message.UsagePools = append(e.message.UsagePools, x.Pool)
			e.message.UsageQueued = append(e.message.UsageQueued, 0)
		}
		e.message.UsageQueued[index] += uint32(x.Queued)
		hasQueued = hasQueued || x.Queued > 0
		priority := min(max(x.Priority, 0), usagePriorities-1)
		e.message.UsageWorkspaces = append(e.message.UsageWorkspaces, x.Workspace)
		e.message.UsageClasses = append(e.message.UsageClasses, index*usagePriorities+uint32(priority))
		e.message.UsageInFlight = append(e.message.UsageInFlight, uint32(x.InFlight))
		e.message.UsageWaiting = append(e.message.UsageWaiting, uint32(x.Waiting))
		e.message.UsageWork = append(e.message.UsageWork, workUnits(x.Work))
		e.message.UsageWeights = append(e.message.UsageWeights, max(x.Weight, 1))
		hasWeights = hasWeights || x.Weight > 1
	}
	if !hasWeights {
		e.message.UsageWeights = nil
	}
	if !hasQueued {
		e.message.UsageQueued = nil
	}
}

// workUnits rounds work up, so that waiting work is never 0.
func workUnits(work time.Duration) uint32 {
	return uint32(min((work+workUnit-1)/workUnit, math.MaxUint32))
}

// takeQueued returns the urgent requests that wait for a pool, for its first entry. Routers of older versions
// send none.
func takeQueued(queued []uint32, pool int) int {
	if pool >= len(queued) {
		return 0
	}
	count := int(min(queued[pool], maxUsageCount))
	queued[pool] = 0
	return count
}

// decodeUsage returns the entries in a datagram; none if its lists don't match.
func decodeUsage(message *exchangepb.Told) []quota.Entry {
	n := len(message.GetUsageWorkspaces())
	weights := message.GetUsageWeights()
	if n > maxUsageEntries || len(message.GetUsageClasses()) != n || len(message.GetUsageInFlight()) != n ||
		len(message.GetUsageWaiting()) != n || len(message.GetUsageWork()) != n ||
		len(weights) != n && len(weights) != 0 {
		return nil
	}
	entries := make([]quota.Entry, 0, n)
	queued := slices.Clone(message.GetUsageQueued())
	for i, workspace := range message.GetUsageWorkspaces() {
		class := message.GetUsageClasses()[i]
		pool := int(class / usagePriorities)
		if pool >= len(message.GetUsagePools()) {
			return nil
		}
		weight := uint32(1)
		if len(weights) > 0 {
			weight = max(weights[i], 1)
		}
		entries = append(entries, quota.Entry{
			Pool:      message.GetUsagePools()[pool],
			Workspace: workspace,
			Priority:  int(class % usagePriorities),
			Weight:    weight,
			InFlight:  int(min(message.GetUsageInFlight()[i], maxUsageCount)),
			Waiting:   int(min(message.GetUsageWaiting()[i], maxUsageCount)),
			Work:      time.Duration(min(message.GetUsageWork()[i], maxUsageCount)) * workUnit,
			Queued:    takeQueued(queued, pool),
		})
	}
	return entries
}
