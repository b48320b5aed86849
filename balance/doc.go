// Package balance chooses the backend server for each request: where the
// request's prompt is cached, unless that would load an engine above a multiple
// of the pool's mean; among plain services the least loaded, the near ones
// first. Backend servers that fail requests are left out for a while.
package balance
