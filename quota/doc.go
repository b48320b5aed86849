// Package quota divides the slots of a pool over the routers and workspaces of a fleet. Each router
// reports what it uses and wants, receives the sums of the fleet, and computes from equal sums the same
// max-min fair allocation by priority and weight, and its own part of it. The parts of all routers add
// up to the slots. A Limiter admits, queues and refuses requests by these parts.
package quota
