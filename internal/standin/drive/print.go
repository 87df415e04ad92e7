package drive

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// Print writes a table with one row for each delivery, and a summary.
func Print(w io.Writer, answers []Answer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WORK\tOUTCOME\tKIND\tRULE\tWHERE\tATTEMPTS\tMS\tID")
	counts := make(map[api.Outcome]int)
	for _, answer := range answers {
		row := rowOf(answer)
		counts[row.outcome]++
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			answer.Name, row.outcome, row.kind, row.rule, row.location, row.attempts, answer.Duration/time.Millisecond, row.id)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "%d answers: %d done, %d not_run, %d unknown, %d missing\n", len(answers),
		counts[api.OutcomeDone], counts[api.OutcomeNotRun], counts[api.OutcomeUnknown], counts[outcomeMissing])
}

// outcomeMissing is the printed outcome of a delivery without an answer.
const outcomeMissing api.Outcome = "missing"

type tableRow struct {
	outcome            api.Outcome
	kind               api.Kind
	rule, location, id string
	attempts           int
}

func rowOf(a Answer) tableRow {
	switch {
	case a.Request != nil:
		r := a.Request
		location := r.BackendServer
		if r.Replayed {
			location += " (replayed)"
		}
		return tableRow{r.Outcome, r.ErrorKind, r.Rule, location, r.ID, r.Attempts}
	case a.Job != nil:
		j := a.Job
		return tableRow{j.Outcome, j.ErrorKind, j.Rule, j.AvailabilityZone, j.ID, j.Attempt}
	default:
		return tableRow{outcome: outcomeMissing, location: a.MissingReason}
	}
}
