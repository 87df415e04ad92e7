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

// waitMargin is the part of the call's time limit that is left for the answer
// to a waiting call.
const waitMargin = time.Second

func (s *shell) addJob() {
	group := s.app.Command("job", "Work on jobs.")
	s.addJobSubmit(group)
	s.addJobShow(group)
	list := group.Command("list", "Print jobs, newest first.")
	account := list.Flag("account", "Only jobs of this client account.").String()
	s.add(list, func() error { return s.listJobs(*account) })
	cancel := group.Command("cancel", "Cancel a job.")
	id := cancel.Arg("id", "Job.").Required().String()
	s.add(cancel, func() error { return s.showJob(http.MethodDelete, *id, 0) })
}

func (s *shell) addJobSubmit(group *kingpin.CmdClause) {
	command := group.Command("submit", "Submit a job.")
	file := command.Arg("file", "File with the job as JSON, as POST /v1/jobs takes it; - for the standard input.").Required().String()
	s.add(command, func() error { return s.submitJob(*file) })
}

func (s *shell) submitJob(file string) error {
	data, err := readInput(file)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return api.NewError(api.KindMalformedBody, "%s is not valid JSON", file)
	}
	var job api.JobAnswer
	if err := s.call(http.MethodPost, "/v1/jobs", json.RawMessage(data), &job); err != nil {
		return err
	}
	return s.print(job, func(w io.Writer) { printJob(w, job) })
}

func (s *shell) addJobShow(group *kingpin.CmdClause) {
	command := group.Command("show", "Print a job.")
	id := command.Arg("id", "Job.").Required().String()
	wait := command.Flag("wait", "Wait for the end of the job, at most this long.").Default("0s").Duration()
	s.add(command, func() error { return s.showJob(http.MethodGet, *id, *wait) })
}

func (s *shell) showJob(method, id string, wait time.Duration) error {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
		s.timeout = max(s.timeout, wait+waitMargin)
	}
	var job api.JobAnswer
	if err := s.call(method, path, nil, &job); err != nil {
		return err
	}
	return s.print(job, func(w io.Writer) { printJob(w, job) })
}

func (s *shell) listJobs(account string) error {
	path := "/v1/jobs"
	if account != "" {
		path += "?account=" + url.QueryEscape(account)
	}
	var list api.JobList
	if err := s.call(http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		table(w, func(row func(...any)) {
			row("ID", "ACCOUNT", "KIND", "SHAPE", "ZONE", "STATE", "OUTCOME", "RULE")
			for _, job := range list.Jobs {
				row(job.ID, job.Account, job.Kind, shape(job.Shape), job.AvailabilityZone, job.State, job.Outcome, job.Rule)
			}
		})
	})
}

func printJob(w io.Writer, job api.JobAnswer) {
	table(w, func(row func(...any)) {
		row("id", job.ID)
		row("outcome", job.Outcome)
		present(row, "error_kind", string(job.ErrorKind))
		present(row, "message", job.Message)
		present(row, "client_account", job.Account)
		present(row, "kind", job.Kind)
		present(row, "shape", shape(job.Shape))
		present(row, "state", job.State)
		present(row, "rule", job.Rule)
		present(row, "availability_zone", job.AvailabilityZone)
		present(row, "submitted", at(job.SubmittedAt))
		present(row, "started", at(job.StartedAt))
		present(row, "ended", at(job.EndedAt))
		present(row, "estimated_finish", at(job.EstimatedFinish))
		present(row, "workers", placements(job.Placements))
	})
}

func shape(s *api.Shape) string {
	if s == nil {
		return ""
	}
	text := fmt.Sprintf("%d x %d", s.Tasks, s.AcceleratorsPerTask)
	if s.SameRack {
		text += " in one rack"
	}
	return text
}

func placements(list []api.TaskPlacement) string {
	parts := make([]string, len(list))
	for i, p := range list {
		parts[i] = fmt.Sprintf("%s (%d tasks, %d accelerators)", p.Worker, p.Tasks, p.Accelerators)
	}
	return strings.Join(parts, ", ")
}
