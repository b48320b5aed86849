package exchange

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/retry"
)

const (
	// quietRounds is how many rounds of updates pass between two reports for the retry budget, as long as the retries
	// since the last one are few: less than one for notablePart that the shares still allow.
	quietRounds = 5
	notablePart = 10
	// reportTTL is how long a report counts as recent, senderTTL how long the sums in it are remembered.
	reportTTL = 2 * time.Second
	senderTTL = 10 * time.Second
	// minAgeDrop is by how much the age in a report has to be below the one before if its sender started again;
	// datagrams that overtake each other differ by less.
	minAgeDrop = time.Second
	// maxReports and maxPasts bound the pools in a datagram, so that it fits one packet of 1,500 bytes.
	maxReports = 50
	maxPasts   = 12
	// maxPastCount bounds each count accepted from a datagram.
	maxPastCount = 1 << 24
	// ageUnit is the unit of the age in a report.
	ageUnit = 100 * time.Millisecond
	// askedRouters is how many routers a starting one asks about the past in each round, until it has an answer.
	askedRouters = 2
)

// RetryBudget is implemented by retry.Budget.
type RetryBudget interface {
	// Reports returns what this router has counted.
	Reports() []retry.Report
	// CountFleet takes what other routers have counted since a time, by package clock, SetFleetUnused how many retries
	// their shares still allow.
	CountFleet(pool uint32, requests, retries int, since time.Time)
	SetFleetUnused(*retry.FleetUnused)
	// IsNearLimit reports whether a large part of the budget of the fleet is used.
	IsNearLimit() bool
	// NeedsPasts reports whether this router has to learn what was counted before its start, Pasts returns what this
	// router knows, and Learn takes what another one knows.
	NeedsPasts() bool
	Pasts() []retry.Past
	Learn(*retry.Past)
}

// Retries sends what this router counts for the retry budget to the others, the same way as updates: to all others, or
// to a hub that adds up the reports of its group. A hub sends the sums of its group to the other hubs, and those of
// the fleet to its group. Reports have sums since a start, so that a lost one leaves nothing behind. Set the exported
// fields before the first call.
type Retries struct {
	Self      string
	Transport Transport
	Budget    RetryBudget
	// Address returns the address at which a router receives datagrams.
	Address func(slipwick.Router) string

	mu sync.Mutex
	// startedAt is when this router began to count, by package clock.
	startedAt time.Time
	rounds    int
	sequence  uint64
	// hub is the hub whose sums of the fleet this router takes, empty if it takes none.
	hub string
	// senders have the last reports by sender and scope.
	senders map[string]*reportSender
	// group and others have the sums of what the routers of this hub's group and the other hubs have reported.
	group, others map[uint32]*retry.Report
	// reported is the number of retries in the last regular report.
	reported uint32
}

// reportSender is a router or a hub that sends reports.
type reportSender struct {
	id       string
	scope    exchangepb.Scope
	sequence uint64
	// receivedAt is when the last report arrived, by package clock, age how long its sender had counted then.
	receivedAt time.Time
	age        time.Duration
	byPool     map[uint32]retry.Report
	// routers is from how many routers the unused retries are.
	routers int
	// knownFrom is from when on all that a report has of a pool not reported before is counted. Until then, the first
	// report of a pool has what was made before this router knew the sender, which others have counted.
	knownFrom time.Time
}

// NewRetries returns the exchange of a router with this ID. Set the other exported fields before the first call.
func NewRetries(self string) *Retries {
	return &Retries{
		Self:      self,
		startedAt: clock.Now(),
		sequence:  firstSequence(),
		senders:   make(map[string]*reportSender),
		group:     make(map[uint32]*retry.Report),
		others:    make(map[uint32]*retry.Report),
	}
}

// sendRound sends the reports that are due in a round of updates, and passes on what the others reported.
func (r *Retries) sendRound(hubs *hubs) {
	peers := excluding(hubs.routers, r.Self)
	r.mu.Lock()
	r.rounds++
	round := r.rounds
	hub, isMember := slipwick.Router{}, false
	if len(hubs.chosen) > 0 {
		hub, isMember = hubs.hubOf(r.Self)
	}
	r.hub = hub.ID
	r.forgetSendersLocked()
	r.mu.Unlock()
	r.Budget.SetFleetUnused(r.fleetUnused(len(hubs.routers), isMember))
	if r.Budget.NeedsPasts() && len(peers) > 0 {
		r.askForPasts(peers)
	}
	own := r.Budget.Reports()
	if !r.isDue(own, round, hubs.isHub(r.Self)) && !r.Budget.IsNearLimit() {
		return
	}
	switch {
	case len(hubs.chosen) == 0:
		r.sendReports(peers, exchangepb.Scope_SCOPE_OWN, own, 1)
	case isMember:
		r.sendReports([]slipwick.Router{hub}, exchangepb.Scope_SCOPE_OWN, own, 1)
	default:
		group, fleet := r.sums(own)
		groupRouters := 1 + r.recentRouters(exchangepb.Scope_SCOPE_OWN)
		fleetRouters := groupRouters + r.recentRouters(exchangepb.Scope_SCOPE_GROUP)
		r.sendReports(excluding(hubs.chosen, r.Self), exchangepb.Scope_SCOPE_GROUP, group, groupRouters)
		r.sendReports(hubs.groupOf(r.Self), exchangepb.Scope_SCOPE_FLEET, fleet, fleetRouters)
	}
}

// askForPasts asks random routers what the fleet has counted.
func (r *Retries) askForPasts(peers []slipwick.Router) {
	for range askedRouters {
		r.send(peers[rand.IntN(len(peers))], &exchangepb.Told{
			From:             r.Self,
			Scope:            exchangepb.Scope_SCOPE_NONE,
			AsksRetryHistory: true,
		})
	}
}

// forgetSendersLocked forgets the sums of those from whom nothing has arrived for long, and of hubs whose sums of the
// fleet are not used any more. Whoever of them sends again has been counted by others meanwhile.
func (r *Retries) forgetSendersLocked() {
	maps.DeleteFunc(r.senders, func(_ string, sender *reportSender) bool {
		return clock.Since(sender.receivedAt) > senderTTL ||
			sender.scope == exchangepb.Scope_SCOPE_FLEET && sender.id != r.hub
	})
}

// isDue reports whether to send reports in this round: regularly, or if the retries since the last report are a notable
// part of what the shares allow.
func (r *Retries) isDue(own []retry.Report, round int, isHub bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	retries, unused := uint32(0), 0
	for i := range own {
		retries += own[i].Retries
		unused += own[i].Unused
	}
	if isHub {
		for _, sums := range []map[uint32]*retry.Report{r.group, r.others} {
			for _, sum := range sums {
				retries += sum.Retries
			}
		}
		for _, scope := range []exchangepb.Scope{exchangepb.Scope_SCOPE_OWN, exchangepb.Scope_SCOPE_GROUP} {
			for _, count := range r.unusedLocked(scope) {
				unused += count
			}
		}
	}
	unreported := retries - r.reported
	if round%quietRounds != 0 && (unreported == 0 || notablePart*int(unreported) < unused) {
		return false
	}
	r.reported = retries
	return true
}

// sums returns the reports of this hub for its group and for the fleet.
func (r *Retries) sums(own []retry.Report) (group, fleet []retry.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	groupUnused, othersUnused := r.unusedLocked(exchangepb.Scope_SCOPE_OWN), r.unusedLocked(exchangepb.Scope_SCOPE_GROUP)
	byPool := make(map[uint32]retry.Report)
	for pool, sum := range r.group {
		byPool[pool] = *sum
	}
	for _, report := range own {
		sum := byPool[report.Pool]
		sum.Requests, sum.Retries = sum.Requests+report.Requests, sum.Retries+report.Retries
		sum.Unused = report.Unused
		byPool[report.Pool] = sum
	}
	for pool := range r.others {
		if _, ok := byPool[pool]; !ok {
			byPool[pool] = retry.Report{}
		}
	}
	for pool, sum := range byPool {
		sum.Pool = pool
		sum.Unused += groupUnused[pool]
		group = append(group, sum)
		if other := r.others[pool]; other != nil {
			sum.Requests, sum.Retries = sum.Requests+other.Requests, sum.Retries+other.Retries
		}
		sum.Unused += othersUnused[pool]
		fleet = append(fleet, sum)
	}
	return group, fleet
}

// fleetUnused returns how many retries the shares of the live routers still allow. Those without a recent report count
// as the others on average.
func (r *Retries) fleetUnused(live int, isMember bool) *retry.FleetUnused {
	r.mu.Lock()
	defer r.mu.Unlock()
	fleet := &retry.FleetUnused{
		HasOwn:  isMember,
		Routers: live,
	}
	scopes := []exchangepb.Scope{exchangepb.Scope_SCOPE_FLEET}
	if !isMember {
		scopes = []exchangepb.Scope{exchangepb.Scope_SCOPE_OWN, exchangepb.Scope_SCOPE_GROUP}
		live--
	}
	routers := 0
	fleet.ByPool = make(map[uint32]int)
	for _, scope := range scopes {
		routers += r.recentRoutersLocked(scope)
		for pool, count := range r.unusedLocked(scope) {
			fleet.ByPool[pool] += count
		}
	}
	fleet.IsKnown = routers > 0
	if routers > 0 && routers < live {
		for pool, count := range fleet.ByPool {
			fleet.ByPool[pool] = count * live / routers
		}
	}
	return fleet
}

// recentRouters returns from how many routers there are recent reports with a scope.
func (r *Retries) recentRouters(scope exchangepb.Scope) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentRoutersLocked(scope)
}

func (r *Retries) recentRoutersLocked(scope exchangepb.Scope) (routers int) {
	for _, sender := range r.senders {
		if sender.scope == scope && clock.Since(sender.receivedAt) <= reportTTL {
			routers += sender.routers
		}
	}
	return routers
}

// unusedLocked adds up the unused retries in the recent reports with a scope, by pool.
func (r *Retries) unusedLocked(scope exchangepb.Scope) map[uint32]int {
	unused := make(map[uint32]int)
	for _, sender := range r.senders {
		if sender.scope != scope || clock.Since(sender.receivedAt) > reportTTL {
			continue
		}
		for pool, report := range sender.byPool {
			unused[pool] += report.Unused
		}
	}
	return unused
}

func (r *Retries) sendReports(to []slipwick.Router, scope exchangepb.Scope, reports []retry.Report, routers int) {
	for part := range slices.Chunk(reports, maxReports) {
		r.mu.Lock()
		r.sequence++
		message := &exchangepb.Told{
			From:     r.Self,
			Sequence: r.sequence,
			Scope:    scope,
			RetryAge: uint32(clock.Since(r.startedAt) / ageUnit),

			RetryRouters: uint32(routers),
		}
		r.mu.Unlock()
		for _, report := range part {
			message.RetryPools = append(message.RetryPools, report.Pool)
			message.RetryRequests = append(message.RetryRequests, report.Requests)
			message.Retries = append(message.Retries, report.Retries)
			message.RetriesUnused = append(message.RetriesUnused, uint32(min(report.Unused, maxPastCount)))
		}
		for _, router := range to {
			r.send(router, message)
		}
	}
}

func (r *Retries) send(to slipwick.Router, message *exchangepb.Told) {
	r.Transport.Send(r.Address(to), marshal(message))
}

// receive handles a datagram of another router, whose address is looked up among the live routers. It reports whether
// the datagram is one for the retry budget.
func (r *Retries) receive(message *exchangepb.Told, routers func() []slipwick.Router) bool {
	switch {
	case message.GetAsksRetryHistory():
		r.answer(message.GetFrom(), routers())
	case len(message.GetRetryHistory()) > 0:
		r.learn(message)
	case len(message.GetRetryPools()) > 0:
		r.count(message)
	default:
		return false
	}
	return true
}

// count counts what a report has more than the one before of its sender.
func (r *Retries) count(message *exchangepb.Told) {
	pools, scope := message.GetRetryPools(), message.GetScope()
	n := len(pools)
	if len(message.GetRetryRequests()) != n || len(message.GetRetries()) != n || len(message.GetRetriesUnused()) != n {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if scope == exchangepb.Scope_SCOPE_FLEET && message.GetFrom() != r.hub {
		return
	}
	sender, since := r.senderLocked(message)
	if sender == nil {
		return
	}
	for i, pool := range pools {
		last, isKnown := sender.byPool[pool]
		report := retry.Report{
			Pool:     pool,
			Requests: message.GetRetryRequests()[i],
			Retries:  message.GetRetries()[i],
			Unused:   int(min(message.GetRetriesUnused()[i], maxPastCount)),
		}
		sender.byPool[pool] = report
		requests, retries := report.Requests-last.Requests, report.Retries-last.Retries
		if !isKnown && clock.Now().Before(sender.knownFrom) || requests > maxPastCount || retries > maxPastCount {
			continue
		}
		r.Budget.CountFleet(pool, int(requests), int(retries), since)
		switch scope {
		case exchangepb.Scope_SCOPE_OWN:
			addReport(r.group, pool, requests, retries)
		case exchangepb.Scope_SCOPE_GROUP:
			addReport(r.others, pool, requests, retries)
		default:
		}
	}
}

// senderLocked returns the sender of a report, nil if a later report has arrived, and when the report before arrived.
func (r *Retries) senderLocked(message *exchangepb.Told) (sender *reportSender, since time.Time) {
	now, age := clock.Now(), time.Duration(message.GetRetryAge())*ageUnit
	key := message.GetScope().String() + "/" + message.GetFrom()
	sender = r.senders[key]
	isNew := false
	switch {
	case sender == nil:
		isNew = age < min(reportTTL, now.Sub(r.startedAt))
	case age+minAgeDrop < sender.age:
		sender, isNew = nil, true
	case message.GetSequence() <= sender.sequence:
		return nil, time.Time{}
	}
	if sender == nil {
		sender = &reportSender{
			id:     message.GetFrom(),
			scope:  message.GetScope(),
			byPool: make(map[uint32]retry.Report),

			receivedAt: now.Add(-age),
		}
		if !isNew {
			sender.knownFrom = now.Add(reportTTL)
		}
		r.senders[key] = sender
	}
	since = sender.receivedAt
	sender.sequence, sender.age, sender.receivedAt = message.GetSequence(), age, now
	sender.routers = int(min(message.GetRetryRouters(), maxPastCount))
	return sender, since
}

func addReport(sums map[uint32]*retry.Report, pool, requests, retries uint32) {
	sum := sums[pool]
	if sum == nil {
		sum = &retry.Report{
			Pool: pool,
		}
		sums[pool] = sum
	}
	sum.Requests += requests
	sum.Retries += retries
}

// answer sends a router that starts what this one knows of the past.
func (r *Retries) answer(to string, routers []slipwick.Router) {
	i := slices.IndexFunc(routers, func(router slipwick.Router) bool { return router.ID == to })
	if i < 0 {
		return
	}
	for part := range slices.Chunk(r.Budget.Pasts(), maxPasts) {
		message := &exchangepb.Told{
			From:  r.Self,
			Scope: exchangepb.Scope_SCOPE_NONE,
		}
		for _, past := range part {
			message.RetryPools = append(message.RetryPools, past.Pool)
			for _, count := range slices.Concat(past.Requests[:], past.Retries[:]) {
				message.RetryHistory = append(message.RetryHistory, uint32(min(count, maxPastCount)))
			}
		}
		r.send(routers[i], message)
	}
}

// learn takes the answer of another router.
func (r *Retries) learn(message *exchangepb.Told) {
	counts := message.GetRetryHistory()
	for _, pool := range message.GetRetryPools() {
		past := &retry.Past{
			Pool: pool,
		}
		if len(counts) < len(past.Requests)+len(past.Retries) {
			return
		}
		for i := range past.Requests {
			past.Requests[i] = int(min(counts[i], maxPastCount))
		}
		counts = counts[len(past.Requests):]
		for i := range past.Retries {
			past.Retries[i] = int(min(counts[i], maxPastCount))
		}
		counts = counts[len(past.Retries):]
		r.Budget.Learn(past)
	}
}
