// Package exchange has routers tell each other, a few times a second, the
// requests they have in flight and the engines that read parts of prompts for
// them. What is lost is told anew or found out otherwise.
package exchange
