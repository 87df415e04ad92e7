package invariants

import (
	"fmt"
	"testing"

	"github.com/corianderbank/corianderbank/api"
)

// TestNonIdempotentRunsAtMostOnce sends the same keys to several instances
// under faults. It checks that no key runs twice, that every answer for a key
// is that of its single run, and that a request that has no key and is not
// idempotent also runs at most once.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	forEachCase(t, requestCases, 3, func(t *testing.T, test requestCase, seed uint64) []string {
		return simulateRequests(t, test, seed).atMostOnceViolations()
	})
}

func TestAtMostOnceCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[protocolFault]requestCase{
		trustLostAnswers: {storeFaults: 0.4, planted: trustLostAnswers},
		ignoreVersions:   {planted: ignoreVersions},
		misreportNotRun:  {backendFaults: 0.4, planted: misreportNotRun},
	}
	for fault, test := range faults {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string { return simulateRequests(t, test, seed).atMostOnceViolations() })
		})
	}
}

// TestNotRunDidNotRun checks that no request answered with not_run has run,
// including after the end of the history.
func TestNotRunDidNotRun(t *testing.T) {
	forEachCase(t, requestCases, 3, func(t *testing.T, test requestCase, seed uint64) []string {
		return simulateRequests(t, test, seed).notRunViolations()
	})
}

func TestNotRunCheckCatchesPlantedFault(t *testing.T) {
	assertCaught(t, 20, func(seed uint64) []string {
		return simulateRequests(t, requestCase{backendFaults: 0.6, planted: misreportNotRun}, seed).notRunViolations()
	})
}

// TestRequestHistoriesAreWorthChecking ensures that the histories contain
// enough requests of each outcome, replays and spilled requests for the checks
// to be meaningful.
func TestRequestHistoriesAreWorthChecking(t *testing.T) {
	outcomes := make(map[api.Outcome]int)
	replayed := 0
	for seed := range uint64(5) {
		for _, r := range simulateRequests(t, requestCases["everything at once"], seed).requests {
			outcomes[r.answer.Outcome]++
			if r.answer.Replayed {
				replayed++
			}
		}
	}
	for _, outcome := range []api.Outcome{api.OutcomeDone, api.OutcomeNotRun, api.OutcomeUnknown} {
		if outcomes[outcome] < 10 {
			t.Errorf("only %d requests ended as %s", outcomes[outcome], outcome)
		}
	}
	if replayed < 10 {
		t.Errorf("only %d answers were replayed", replayed)
	}
	spilled := simulateRequests(t, requestCases["answers of other zones are lost"], 0).spilled
	if spilled < 10 {
		t.Errorf("only %d requests went to another zone", spilled)
	}
	t.Logf("%v, %d replayed, %d in another zone", outcomes, replayed, spilled)
}

// atMostOnceViolations returns every violation of at-most-once execution, every
// done request that never ran, and every key with different answers.
func (w *requestWorld) atMostOnceViolations() []string {
	var violations []string
	payloads := make(map[string]string)
	for _, r := range w.requests {
		runs := w.runs[r.id]
		if r.keyed {
			runs = w.runsOfKey[r.key]
		}
		if !r.idempotent && runs > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", r.id, runs))
		}
		if r.answer.Outcome != api.OutcomeDone {
			continue
		}
		if runs == 0 {
			violations = append(violations, fmt.Sprintf("%s is done but never ran", r.id))
		}
		payload := string(r.answer.Payload)
		if recorded, ok := payloads[r.key]; ok && r.keyed && recorded != payload {
			violations = append(violations, fmt.Sprintf("key %s has the answers %s and %s", r.key, recorded, payload))
		}
		payloads[r.key] = payload
	}
	return violations
}

// notRunViolations returns every request that ran although its answer was
// not_run.
func (w *requestWorld) notRunViolations() []string {
	var violations []string
	for _, r := range w.requests {
		if r.answer.Outcome == api.OutcomeNotRun && w.runs[r.id] > 0 {
			violations = append(violations, fmt.Sprintf("%s ran %d times but was answered not_run: %s", r.id, w.runs[r.id], r.answer.Message))
		}
	}
	return violations
}
