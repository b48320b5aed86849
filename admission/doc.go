// Package admission decides which backend server serves a request and when.
// Each backend server has one owning router, which grants, holds or refuses
// slots within a limit set from the pool's mean load.
package admission
