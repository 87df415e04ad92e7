package invariants

import (
	"fmt"
	"testing"

	"github.com/corianderbank/corianderbank/api"
)

// TestNonIdempotentRunsAtMostOnce sends the same keys to several instances under
// faults, and checks that no key runs twice, that every answer of a key is that
// of its one run, and that a request without a key runs at most once too.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	everyCase(t, requestCases, 3, func(t *testing.T, test requestCase, seed uint64) []string {
		return playRequests(t, test, seed).doubled()
	})
}

func TestAtMostOnceCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[stateFault]requestCase{
		trustLostAnswers: {storeFaults: 0.4, planted: trustLostAnswers},
		ignoreVersions:   {planted: ignoreVersions},
		lieNotRun:        {backendFaults: 0.4, planted: lieNotRun},
	}
	for fault, test := range faults {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string { return playRequests(t, test, seed).doubled() })
		})
	}
}

// TestNotRunDidNotRun checks that no request whose caller was told not_run had
// run, and that none ran after the end of the history either.
func TestNotRunDidNotRun(t *testing.T) {
	everyCase(t, requestCases, 3, func(t *testing.T, test requestCase, seed uint64) []string {
		return playRequests(t, test, seed).falselyNotRun()
	})
}

func TestNotRunCheckCatchesPlantedFault(t *testing.T) {
	assertCaught(t, 20, func(seed uint64) []string {
		return playRequests(t, requestCase{backendFaults: 0.6, planted: lieNotRun}, seed).falselyNotRun()
	})
}

// TestRequestHistoriesAreWorthChecking guards the proofs against histories in
// which nothing happens.
func TestRequestHistoriesAreWorthChecking(t *testing.T) {
	outcomes := make(map[api.Outcome]int)
	replayed := 0
	for seed := range uint64(5) {
		for _, a := range playRequests(t, requestCases["everything at once"], seed).arrivals {
			outcomes[a.answer.Outcome]++
			if a.answer.Replayed {
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
	spilled := playRequests(t, requestCases["answers of other zones are lost"], 0).spilled
	if spilled < 10 {
		t.Errorf("only %d requests went to another zone", spilled)
	}
	t.Logf("%v, %d replayed, %d in another zone", outcomes, replayed, spilled)
}

// doubled returns every breach of at-most-once.
func (w *requestWorld) doubled() []string {
	var problems []string
	payloads := make(map[string]string)
	for _, a := range w.arrivals {
		runs := w.runs[a.id]
		if a.keyed {
			runs = w.runsOfKey[a.key]
		}
		if !a.idempotent && runs > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", a.id, runs))
		}
		if a.answer.Outcome != api.OutcomeDone {
			continue
		}
		if runs == 0 {
			problems = append(problems, fmt.Sprintf("%s is done and never ran", a.id))
		}
		payload := string(a.answer.Payload)
		if known, ok := payloads[a.key]; ok && a.keyed && known != payload {
			problems = append(problems, fmt.Sprintf("key %s has the answers %s and %s", a.key, known, payload))
		}
		payloads[a.key] = payload
	}
	return problems
}

// falselyNotRun returns every request that ran and was told not to have.
func (w *requestWorld) falselyNotRun() []string {
	var problems []string
	for _, a := range w.arrivals {
		if a.answer.Outcome == api.OutcomeNotRun && w.runs[a.id] > 0 {
			problems = append(problems, fmt.Sprintf("%s ran %d times and was told not_run: %s", a.id, w.runs[a.id], a.answer.Message))
		}
	}
	return problems
}
