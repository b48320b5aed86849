// Package burn counts how requests ended, over sliding windows, and works out
// how fast each workspace's error budget burns.
package burn
