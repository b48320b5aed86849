// Package fairqueue orders the requests that wait for a permit of one pool. The most urgent priority
// is served first; within a priority, callers that return after a refusal come before others, and
// workspaces get work in proportion to their weights (start-time fair queueing). Requests of one
// workspace are ordered by deadline, and retries follow first attempts. Requests that can't meet their
// latency objective any more come after all that can. A starvation guard gives a part of the work to
// lower priorities.
package fairqueue
