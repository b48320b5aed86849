// Command stand plays the cases of the review. It starts the project's gateway as separate processes, with the command
// of the deploy file, and stand-ins of the platform's store, of the replicas and of the clients, all on loopback
// addresses.
package main
