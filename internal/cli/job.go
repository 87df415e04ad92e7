package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/api"
)

// waitMargin is added to the wait of a call to leave time for its response.
const waitMargin = time.Second

func (inv *invocation) addJob() {
	group := inv.app.Command("job", "Work on jobs.")
	inv.addJobSubmit(group)
	inv.addJobShow(group)
	list := group.Command("list", "Print jobs, newest first.")
	account := list.Flag("account", "Only jobs of this client account.").String()
	inv.addAction(list, func() error { return inv.listJobs(*account) })
	cancel := group.Command("cancel", "Cancel a job.")
	id := cancel.Arg("id", "Job.").Required().String()
	inv.addAction(cancel, func() error { return inv.showJob(http.MethodDelete, *id, 0) })
}

func (inv *invocation) addJobSubmit(group *kingpin.CmdClause) {
	command := group.Command("submit", "Submit a job.")
	file := command.Arg("file", "File with the job as JSON, as POST /v1/jobs takes it; - for the standard input.").Required().String()
	inv.addAction(command, func() error { return inv.submitJob(*file) })
}

func (inv *invocation) submitJob(file string) error {
	data, err := readInput(file)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return api.NewError(api.KindMalformedBody, "%s is not valid JSON", file)
	}
	var job api.JobAnswer
	if err := inv.call(http.MethodPost, "/v1/jobs", json.RawMessage(data), &job); err != nil {
		return err
	}
	return inv.print(job, func(w io.Writer) { printJob(w, job) })
}

func (inv *invocation) addJobShow(group *kingpin.CmdClause) {
	command := group.Command("show", "Print a job.")
	id := command.Arg("id", "Job.").Required().String()
	wait := command.Flag("wait", "Wait for the end of the job, at most this long.").Default("0s").Duration()
	inv.addAction(command, func() error { return inv.showJob(http.MethodGet, *id, *wait) })
}

func (inv *invocation) showJob(method, id string, wait time.Duration) error {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
		inv.timeout = max(inv.timeout, wait+waitMargin)
	}
	var job api.JobAnswer
	if err := inv.call(method, path, nil, &job); err != nil {
		return err
	}
	return inv.print(job, func(w io.Writer) { printJob(w, job) })
}

func (inv *invocation) listJobs(account string) error {
	path := "/v1/jobs"
	if account != "" {
		path += "?account=" + url.QueryEscape(account)
	}
	var list api.JobList
	if err := inv.call(http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	return inv.print(list, func(w io.Writer) {
		table(w, func(row func(...any)) {
			row("ID", "ACCOUNT", "KIND", "SHAPE", "ZONE", "STATE", "OUTCOME", "RULE")
			for _, job := range list.Jobs {
				row(job.ID, job.Account, job.Kind, formatShape(job.Shape), job.AvailabilityZone, job.State, job.Outcome, job.Rule)
			}
		})
	})
}

func printJob(w io.Writer, job api.JobAnswer) {
	table(w, func(row func(...any)) {
		row("id", job.ID)
		row("outcome", job.Outcome)
		rowIfSet(row, "error_kind", string(job.ErrorKind))
		rowIfSet(row, "message", job.Message)
		rowIfSet(row, "client_account", job.Account)
		rowIfSet(row, "kind", job.Kind)
		rowIfSet(row, "shape", formatShape(job.Shape))
		rowIfSet(row, "state", job.State)
		rowIfSet(row, "rule", job.Rule)
		rowIfSet(row, "availability_zone", job.AvailabilityZone)
		rowIfSet(row, "submitted", formatTime(job.SubmittedAt))
		rowIfSet(row, "started", formatTime(job.StartedAt))
		rowIfSet(row, "ended", formatTime(job.EndedAt))
		rowIfSet(row, "estimated_finish", formatTime(job.EstimatedFinish))
		rowIfSet(row, "workers", formatPlacements(job.Placements))
	})
}

func formatShape(s *api.Shape) string {
	if s == nil {
		return ""
	}
	text := fmt.Sprintf("%d x %d", s.Tasks, s.AcceleratorsPerTask)
	if s.SameRack {
		text += " in one rack"
	}
	return text
}

func formatPlacements(list []api.TaskPlacement) string {
	parts := make([]string, len(list))
	for i, p := range list {
		parts[i] = fmt.Sprintf("%s (%d tasks, %d accelerators)", p.Worker, p.Tasks, p.Accelerators)
	}
	return strings.Join(parts, ", ")
}
