package dispatch

import (
	"fmt"
	"slices"
)

// Mechanism names a mechanism that improves service but that no guarantee depends on. Each can
// be disabled to measure its effect.
type Mechanism string

// The mechanisms.
const (
	MechHeadroom           Mechanism = "headroom"
	MechClaims             Mechanism = "claims"
	MechWaitForCompletions Mechanism = "wait_for_ends"
	MechReservations       Mechanism = "reservations"
	MechRackWait           Mechanism = "rack_patience"
	MechEstimates          Mechanism = "estimates"
	MechUnhealthyWorkers   Mechanism = "sick_workers"
	MechEvacuation         Mechanism = "evacuation"
	MechSuspectDomains     Mechanism = "suspect_domains"
	MechDemoteLate         Mechanism = "demote_late"
	MechCheapVictims       Mechanism = "cheap_victims"
	MechPacking            Mechanism = "packing"
	MechRackOrder          Mechanism = "rack_order"
	MechRestartClaims      Mechanism = "restart_claims"
	MechResends            Mechanism = "resends"
	MechPollWindow         Mechanism = "poll_window"
	MechStartWindow        Mechanism = "start_window"
	MechStoredStartIntents Mechanism = "stored_begins"
	MechFlappingWorkers    Mechanism = "flapping_workers"
	MechWorkerSpeeds       Mechanism = "worker_speeds"
	MechStoredKnowledge    Mechanism = "stored_knowledge"
	MechCorrectedRunTimes  Mechanism = "corrected_run_times"
	MechSpeedKinds         Mechanism = "speed_kinds"
	MechExploreSpeeds      Mechanism = "explore_speeds"
	MechGangVictims        Mechanism = "gang_victims"
	MechDemandForecast     Mechanism = "demand_forecast"
	MechStandBound         Mechanism = "stand_bound"
	MechTrials             Mechanism = "trials"
	MechServiceVictims     Mechanism = "service_victims"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechHeadroom, MechClaims, MechWaitForCompletions, MechReservations, MechRackWait, MechEstimates, MechUnhealthyWorkers,
		MechEvacuation, MechSuspectDomains, MechDemoteLate, MechCheapVictims, MechPacking, MechRackOrder, MechRestartClaims, MechResends,
		MechPollWindow, MechStartWindow, MechStoredStartIntents, MechFlappingWorkers,
		MechWorkerSpeeds, MechStoredKnowledge, MechCorrectedRunTimes, MechSpeedKinds, MechExploreSpeeds, MechGangVictims, MechDemandForecast, MechStandBound, MechTrials, MechServiceVictims,
	}
}

// Tuning changes decisions for a measurement. Its zero value changes nothing.
type Tuning struct {
	// Without lists the disabled mechanisms.
	Without []Mechanism `json:"without,omitempty"`
	// Numbers overrides constants.
	Numbers map[Number]float64 `json:"numbers,omitempty"`
	// Choices selects the policies of decisions.
	Choices map[Choice]string `json:"choices,omitempty"`
}

// Number names a constant that a measurement may override.
type Number string

// The constants that can be overridden.
const (
	NumHeadroomFactor   Number = "headroom_over"
	NumHeadroomMaxShare Number = "headroom_most"
	NumHeadroomMinLoad  Number = "headroom_load"
	NumHeadroomWindow   Number = "headroom_memory_s"
	NumReservations     Number = "reservations"
)

// Numbers returns all overridable constants.
func Numbers() []Number {
	return []Number{NumHeadroomFactor, NumHeadroomMaxShare, NumHeadroomMinLoad, NumHeadroomWindow, NumReservations}
}

// Check returns an error if the tuning names an unknown mechanism, number, choice or policy.
func (t Tuning) Check() error {
	for _, m := range t.Without {
		if !slices.Contains(Mechanisms(), m) {
			return fmt.Errorf("unknown mechanism %q", m)
		}
	}
	for n := range t.Numbers {
		if !slices.Contains(Numbers(), n) {
			return fmt.Errorf("unknown number %q", n)
		}
	}
	return checkChoices(t.Choices)
}

// numberOr returns the tuning's override of a number, or the given constant.
func (c *Core) numberOr(n Number, constant float64) float64 {
	if value, overridden := c.tuning.Numbers[n]; overridden {
		return value
	}
	return constant
}

// Tune applies a tuning.
func (c *Core) Tune(t Tuning) {
	c.tuning = t
	c.policies = newPolicies(t.Choices)
	c.estimates.trustDeclared = !c.enabled(MechEstimates)
	c.estimates.observations++ // invalidates the computed durations
}

// enabled reports whether a mechanism is enabled.
func (c *Core) enabled(m Mechanism) bool { return !slices.Contains(c.tuning.Without, m) }
