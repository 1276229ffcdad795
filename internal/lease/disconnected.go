package lease

import "fireflyrudder.example/fireflyrudder/internal/spread"

// DisconnectedShare is the part of the rate of a client account that one entry VM may use while no issuer answers.
type DisconnectedShare struct {
	rate  float64 // credits per second
	start float64 // credits at the start of a disconnection, below 1
}

// NewDisconnectedShare returns the share of the entry VM with an index among count ones. All have the same rate.
// They start with different fractions of a credit, so that the shares of many entry VMs yield their first whole
// credits one after the other, as fast as the whole rate would. The order differs by account.
func NewDisconnectedShare(account AccountID, rate float64, index, count int) DisconnectedShare {
	count = max(count, 1)
	place := (max(index, 0) + int(spread.Fraction(string(account))*float64(count))) % count
	return DisconnectedShare{rate: rate / float64(count), start: float64(place) / float64(count)}
}
