package mtchoice

// Luck is how often a call that one server refused for its load finds room at another.
//
// It answers the pattern of a large service that is asked for more than it can do: each
// call was refused by six of 140 servers before its caller was told, and that took daemons
// three times the processor time of a call that is served. Where others rarely have room,
// a call looks at few of them, and most calls at none.
//
// It isn't safe for concurrent use.
type Luck struct {
	missed float64 // part of the looks that found no room
	credit float64 // looks that are due, while there is less than one for each call
}

const (
	// luckMemory is how many looks are remembered, more or less.
	luckMemory = 32
	// goodLuck is the part of the looks that have to find room for a call to look as
	// often as it may.
	goodLuck = 0.3
	// leastLooks is how many looks there are for each call at least, so that it is noticed
	// when there is room again.
	leastLooks = 0.125
)

// Note takes in whether a look found room.
func (l *Luck) Note(found bool) {
	missed := 1.0
	if found {
		missed = 0
	}
	l.missed += (missed - l.missed) / luckMemory
}

// Looks returns at how many other servers a call should look for room, most at the most.
func (l *Luck) Looks(most int) int {
	looks := min((1-l.missed)/goodLuck, 1) * float64(most)
	if looks >= 1 {
		return int(looks + 0.5)
	}
	l.credit += max(looks, leastLooks)
	if l.credit < 1 {
		return 0
	}
	l.credit--
	return 1
}
