package drive

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// Print writes one line for each delivery and a summary.
func Print(w io.Writer, answers []Answer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WORK\tOUTCOME\tKIND\tRULE\tWHERE\tATTEMPTS\tMS\tID")
	outcomes := make(map[api.Outcome]int)
	for _, answer := range answers {
		l := lineOf(answer)
		outcomes[l.outcome]++
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			answer.Name, l.outcome, l.kind, l.rule, l.where, l.attempts, answer.Took/time.Millisecond, l.id)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "%d answers: %d done, %d not_run, %d unknown, %d missing\n", len(answers),
		outcomes[api.OutcomeDone], outcomes[api.OutcomeNotRun], outcomes[api.OutcomeUnknown], outcomes[outcomeMissing])
}

// outcomeMissing marks a delivery without an answer.
const outcomeMissing api.Outcome = "missing"

type line struct {
	outcome         api.Outcome
	kind            api.Kind
	rule, where, id string
	attempts        int
}

func lineOf(a Answer) line {
	switch {
	case a.Request != nil:
		r := a.Request
		where := r.BackendServer
		if r.Replayed {
			where += " (replayed)"
		}
		return line{r.Outcome, r.ErrorKind, r.Rule, where, r.ID, r.Attempts}
	case a.Job != nil:
		j := a.Job
		return line{j.Outcome, j.ErrorKind, j.Rule, j.AvailabilityZone, j.ID, j.Attempt}
	default:
		return line{outcome: outcomeMissing, where: a.Missing}
	}
}
