// Command stand2 plays the scripts of the second review: it starts gateways as separate processes, with
// stand-ins of the platform's store, of replicas and of clients, and records what each of them saw.
package main
