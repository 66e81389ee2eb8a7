// Package worktime learns how long the upstream of a sidecar works on requests, and derives
// from this how much work it has and how long it takes for one more request. It addresses
// servers of different speed and requests of different cost: under both, a count of requests
// says little about the time until the next one is done. The package does no input or output
// of its own; the caller passes in the events and the time.
package worktime
