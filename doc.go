// Package slipwick defines the interfaces and data types that the components
// of a router fleet share: the platform's store, the list of boxes, backend
// servers, placement, and the typed outcomes and errors that callers see.
// The subpackages contain the implementations.
//
// A router forwards the requests of callers to backend servers. A backend server
// is an engine, which runs a model, or another service; interchangeable ones form
// a pool. A slot is the right to have one request in flight at a backend server.
// Routers and backend servers run on boxes. The platform is the environment of
// the fleet: it lists the boxes and stores objects such as the configuration.
// A workspace is one customer of the fleet. A chat is a conversation in a
// workspace; engines cache the prompts of its turns, so a chat should stay at one
// engine.
//
// There are two kinds of router, which run on different platforms: the chat router,
// which forwards chats and requests to services, and the gateway, which forwards HTTP
// requests by host and path. Package objectapi is the client for the platform of the
// chat router, package platform that for the platform of the gateway.
package slipwick
