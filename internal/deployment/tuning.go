package deployment

import (
	"fmt"
	"slices"

	"github.com/corianderbank/corianderbank/internal/dispatch"
)

// Tuning disables mechanisms, and changes numbers and choices, to measure their value.
// The zero value changes nothing.
type Tuning struct {
	// Without lists the disabled mechanisms, of this package or of dispatch.
	Without []dispatch.Mechanism `json:"without"`
	// Numbers and Choices are those of dispatch.Tuning.
	Numbers map[dispatch.Number]float64 `json:"numbers"`
	Choices map[dispatch.Choice]string  `json:"choices"`
}

// The mechanisms of an instance. They improve the service, and no guarantee depends on
// them.
const (
	mechEarlyReplacement   dispatch.Mechanism = "early_replacement"
	mechKeepLeaseInOutages dispatch.Mechanism = "outages"
	mechStoreRelays        dispatch.Mechanism = "peer_paths"
	mechRouteHedging       dispatch.Mechanism = "overtaking"
	mechRetryAfter         dispatch.Mechanism = "retry_after"
	mechRoundGap           dispatch.Mechanism = "round_gap"
	mechPartitionWatch     dispatch.Mechanism = "cut_watch"
	mechAnnouncements      dispatch.Mechanism = "announcements"
	mechLargerFirst        dispatch.Mechanism = "larger_first"
	mechQuiesce            dispatch.Mechanism = "finishing"
	mechRankedTableGap     dispatch.Mechanism = "seldom_reads"
	mechWorkerRelays       dispatch.Mechanism = "worker_relays"
	mechSilenceWatch       dispatch.Mechanism = "silence_watch"
	mechSeparateIntents    dispatch.Mechanism = "separate_intents"
)

// Mechanisms returns the mechanisms of an instance.
func Mechanisms() []dispatch.Mechanism {
	return []dispatch.Mechanism{
		mechEarlyReplacement, mechKeepLeaseInOutages, mechStoreRelays, mechRouteHedging, mechRetryAfter, mechRoundGap, mechPartitionWatch,
		mechAnnouncements, mechLargerFirst, mechQuiesce, mechRankedTableGap, mechWorkerRelays, mechSilenceWatch, mechSeparateIntents,
	}
}

func (t Tuning) check() error {
	for _, m := range t.Without {
		if !slices.Contains(Mechanisms(), m) && !slices.Contains(dispatch.Mechanisms(), m) {
			return fmt.Errorf("tuning.without: no mechanism %q", m)
		}
	}
	if err := t.coreTuning().Check(); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	return nil
}

func (t Tuning) enabled(m dispatch.Mechanism) bool { return !slices.Contains(t.Without, m) }

// coreTuning returns the part of the tuning that concerns the core.
func (t Tuning) coreTuning() dispatch.Tuning {
	without := slices.DeleteFunc(slices.Clone(t.Without), func(m dispatch.Mechanism) bool {
		return !slices.Contains(dispatch.Mechanisms(), m)
	})
	return dispatch.Tuning{Without: without, Numbers: t.Numbers, Choices: t.Choices}
}
