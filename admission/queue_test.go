package admission

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/peer/peerpb"
)

func TestQueueServesByPriorityThenShare(t *testing.T) {
	var q queue
	weights := map[string]uint32{"a": 1, "b": 3}
	push := func(id uint64, workspace string, priority int) {
		q.push(newQueuedRequest(id, workspace, priority), weights[workspace])
	}
	for i := range 8 {
		push(uint64(i), "a", 0)
	}
	for i := range 6 {
		push(uint64(100+i), "b", 0)
	}
	push(200, "a", 5)
	var got []string
	for q.len() > 0 {
		r := q.remove(q.next(func(*queuedRequest) bool { return true }), true)
		got = append(got, fmt.Sprintf("%s%d", r.request.GetWorkspace(), r.priority))
	}
	served := 0
	for _, name := range got[1:9] {
		if name == "b0" {
			served++
		}
	}
	if got[0] != "a5" || served != 6 {
		t.Errorf("got order %v, want a5 first and the 6 requests of b among the next 8", got)
	}
}

func TestQueueEvictsFromSurgingWorkspace(t *testing.T) {
	var q queue
	weight := func(string) uint32 { return 1 }
	for i := range 6 {
		q.push(newQueuedRequest(uint64(i), "surging", 0), 1)
	}
	q.push(newQueuedRequest(10, "small", 0), 1)
	if got := q.evictionIndex("small", 0, weight); got != 5 {
		t.Errorf("got request %d to evict, want 5, the newest of the surging workspace", got)
	}
	if got := q.evictionIndex("surging", 0, weight); got != -1 {
		t.Errorf("got request %d to evict, want -1 for the arriving one", got)
	}
	if got := q.evictionIndex("surging", 3, weight); got != 5 {
		t.Errorf("got request %d to evict for a higher priority, want 5", got)
	}
}

func newQueuedRequest(id uint64, workspace string, priority int) *queuedRequest {
	return &queuedRequest{
		key: leaseKey{
			router: "r",
			id:     id,
		},
		request:  slotRequest(id, workspace),
		priority: priority,
	}
}

func slotRequest(id uint64, workspace string) *peerpb.SlotRequest {
	return &peerpb.SlotRequest{
		Id:        id,
		Workspace: workspace,
	}
}
