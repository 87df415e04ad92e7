package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/corianderbank/corianderbank/internal/losses"
)

// defaultInterval is the time interval that a row of the table by submission time covers.
const defaultInterval = 2 * time.Second

func (inv *invocation) addLosses() {
	command := inv.app.Command("losses", "Report from log files which jobs were late or lost, and where their time went.")
	files := command.Arg("file", "Log file of an instance; pass the files of all instances for a complete report.").Required().Strings()
	interval := command.Flag("stretch", "Time interval that a row of the table by submission time covers.").Default(defaultInterval.String()).Duration()
	all := command.Flag("all", "List jobs that were on time as well.").Bool()
	seenAfter := command.Flag("seen-after", "Time after its completion at which the caller of a job learns of it.").Default(losses.DefaultSeenAfter.String()).Duration()
	inv.addAction(command, func() error { return inv.reportLosses(*files, *interval, *seenAfter, *all) })
}

// reportLosses reads log files and prints the jobs that were not on time, with the
// causes.
func (inv *invocation) reportLosses(files []string, interval, seenAfter time.Duration, all bool) error {
	var reader losses.Reader
	for _, name := range files {
		if err := readLog(&reader, name); err != nil {
			return err
		}
	}
	report := reader.Report(seenAfter)
	jobs := report.NotOnTime()
	if all {
		jobs = report.Jobs
	}
	return inv.print(report, func(w io.Writer) {
		printJobTable(w, &report, jobs)
		printSummaries(w, "LOST_TO", report.ByCause())
		printSummaries(w, "FROM", report.ByTime(interval))
		printSummaries(w, "CLIENT_ACCOUNT", report.ByAccount())
		printSummaries(w, "ZONE", report.ByZone())
		printSummaries(w, "SLOWEST_WORKER", report.BySpeed())
		_, _ = fmt.Fprintf(w, "\n%d of %d jobs not on time, %d completed after the time that their leader expected; %d lines not parsed\n",
			len(report.NotOnTime()), len(report.Jobs), report.LateForLeader(), report.Unparsed)
	})
}

func readLog(reader *losses.Reader, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return reader.Read(file)
}

func causeTitles() []any {
	var titles []any
	for _, cause := range losses.Causes() {
		titles = append(titles, string(cause))
	}
	return titles
}

func causeCells(spent map[losses.Cause]time.Duration) []any {
	var cells []any
	for _, cause := range losses.Causes() {
		cells = append(cells, fmt.Sprintf("%.2f", spent[cause].Seconds()))
	}
	return cells
}

func printJobTable(w io.Writer, report *losses.Report, jobs []losses.Job) {
	table(w, func(row func(...any)) {
		row(append([]any{"AT_S", "JOB", "QUEUE", "PRIORITY", "OUTCOME", "TOOK_S", "OBJECTIVE_S", "LOST_TO"}, causeTitles()...)...)
		for i := range jobs {
			j := &jobs[i]
			row(append([]any{
				formatSeconds(j.SubmittedAt.Sub(report.From).Seconds()), j.ID, j.Queue, j.Priority, string(j.Outcome),
				fmt.Sprintf("%.2f", j.Elapsed.Seconds()), fmt.Sprintf("%.2f", j.Objective.Seconds()), string(j.Cause),
			}, causeCells(j.TimeByCause)...)...)
		}
	})
}

// printSummaries writes a table with the jobs of each priority and their time by cause.
func printSummaries(w io.Writer, title string, summaries []losses.Summary) {
	_, _ = fmt.Fprintln(w)
	table(w, func(row func(...any)) {
		row(append([]any{title, "PRIORITY_0", "PRIORITY_1", "OTHERS"}, causeTitles()...)...)
		for _, summary := range summaries {
			others, allOthers := 0, 0
			for priority, n := range summary.AllJobs {
				if priority != "0" && priority != "1" {
					others, allOthers = others+summary.Jobs[priority], allOthers+n
				}
			}
			row(append([]any{
				summary.Name, share(summary.Jobs["0"], summary.AllJobs["0"]), share(summary.Jobs["1"], summary.AllJobs["1"]), share(others, allOthers),
			}, causeCells(summary.TimeByCause)...)...)
		}
	})
}

// share formats a number of jobs and that of all of their group.
func share(jobs, all int) string { return fmt.Sprintf("%d/%d", jobs, all) }
