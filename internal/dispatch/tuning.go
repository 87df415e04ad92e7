package dispatch

import (
	"fmt"
	"slices"
)

// Mechanism names a mechanism that serves callers better and that no promise needs.
// Each can be switched off, to measure what it is worth.
type Mechanism string

// The mechanisms.
const (
	MechHeadroom        Mechanism = "headroom"
	MechClaims          Mechanism = "claims"
	MechWaitForEnds     Mechanism = "wait_for_ends"
	MechReservations    Mechanism = "reservations"
	MechRackPatience    Mechanism = "rack_patience"
	MechEstimates       Mechanism = "estimates"
	MechSickWorkers     Mechanism = "sick_workers"
	MechEvacuation      Mechanism = "evacuation"
	MechSuspectDomains  Mechanism = "suspect_domains"
	MechDemoteLate      Mechanism = "demote_late"
	MechCheapVictims    Mechanism = "cheap_victims"
	MechPacking         Mechanism = "packing"
	MechRackOrder       Mechanism = "rack_order"
	MechRestartClaims   Mechanism = "restart_claims"
	MechResends         Mechanism = "resends"
	MechPollWindow      Mechanism = "poll_window"
	MechStartWindow     Mechanism = "start_window"
	MechStoredBegins    Mechanism = "stored_begins"
	MechFlappingWorkers Mechanism = "flapping_workers"
)

// Mechanisms lists them all.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechHeadroom, MechClaims, MechWaitForEnds, MechReservations, MechRackPatience, MechEstimates, MechSickWorkers,
		MechEvacuation, MechSuspectDomains, MechDemoteLate, MechCheapVictims, MechPacking, MechRackOrder, MechRestartClaims, MechResends,
		MechPollWindow, MechStartWindow, MechStoredBegins, MechFlappingWorkers,
	}
}

// Tuning changes decisions for a measurement. Its zero value changes nothing.
type Tuning struct {
	// Without lists mechanisms that are off.
	Without []Mechanism `json:"without,omitempty"`
	// Numbers replaces constants.
	Numbers map[Number]float64 `json:"numbers,omitempty"`
	// Choices names the ways of decisions that can be taken in several.
	Choices map[Choice]string `json:"choices,omitempty"`
}

// Number names a constant that a measurement may vary.
type Number string

// The constants that can be varied.
const (
	NumHeadroomOver   Number = "headroom_over"
	NumHeadroomMost   Number = "headroom_most"
	NumHeadroomLoad   Number = "headroom_load"
	NumHeadroomMemory Number = "headroom_memory_s"
	NumReservations   Number = "reservations"
)

// Numbers lists them all.
func Numbers() []Number {
	return []Number{NumHeadroomOver, NumHeadroomMost, NumHeadroomLoad, NumHeadroomMemory, NumReservations}
}

// Check says which mechanism of a tuning there is not.
func (t Tuning) Check() error {
	for _, m := range t.Without {
		if !slices.Contains(Mechanisms(), m) {
			return fmt.Errorf("no mechanism %q", m)
		}
	}
	for n := range t.Numbers {
		if !slices.Contains(Numbers(), n) {
			return fmt.Errorf("no number %q", n)
		}
	}
	return checkChoices(t.Choices)
}

// number is a constant, unless the tuning replaces it.
func (c *Core) number(n Number, constant float64) float64 {
	if value, replaced := c.tuning.Numbers[n]; replaced {
		return value
	}
	return constant
}

// Tune puts a tuning in force.
func (c *Core) Tune(t Tuning) {
	c.tuning = t
	c.ways = newWays(t.Choices)
	c.estimates.asDeclared = !c.has(MechEstimates)
	c.estimates.learned++
}

// has reports whether a mechanism is on.
func (c *Core) has(m Mechanism) bool { return !slices.Contains(c.tuning.Without, m) }
