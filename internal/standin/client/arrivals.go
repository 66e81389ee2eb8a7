package client

import (
	"math/rand/v2"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// arrivals returns the arrival times of a Poisson process with a rate in requests
// per second, from 0 to the duration. A rate of 0 gives no arrivals. The times do
// not depend on responses: the load is open-loop.
func arrivals(random *rand.Rand, rate float64, duration clock.Millis) []clock.Millis {
	if rate <= 0 {
		return nil
	}
	var times []clock.Millis
	at := 0.0
	for {
		at += random.ExpFloat64() / rate * float64(clock.Second)
		if clock.Millis(at) >= duration {
			return times
		}
		times = append(times, clock.Millis(at))
	}
}
