package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/corianderbank/corianderbank/internal/losses"
)

// defaultStretch is how much time a row of the table by moments covers.
const defaultStretch = 2 * time.Second

func (s *shell) addLosses() {
	command := s.app.Command("losses", "Say from log files which jobs were late or lost, and where their time went.")
	files := command.Arg("file", "Log file of an instance; those of all instances together say most.").Required().Strings()
	stretch := command.Flag("stretch", "Time that a row of the table by moments covers.").Default(defaultStretch.String()).Duration()
	all := command.Flag("all", "List jobs that were on time as well.").Bool()
	s.add(command, func() error { return s.losses(*files, *stretch, *all) })
}

// losses reads log files and prints what was lost to what.
func (s *shell) losses(files []string, stretch time.Duration, all bool) error {
	var reader losses.Reader
	for _, name := range files {
		if err := readLog(&reader, name); err != nil {
			return err
		}
	}
	report := reader.Report()
	jobs := report.Lost()
	if all {
		jobs = report.Jobs
	}
	return s.print(report, func(w io.Writer) {
		printLostJobs(w, &report, jobs)
		printSums(w, "LOST_TO", report.ByCause())
		printSums(w, "FROM", report.ByMoment(stretch))
		_, _ = fmt.Fprintf(w, "\n%d of %d jobs; %d lines not read\n", len(report.Lost()), len(report.Jobs), report.Unread)
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

func printLostJobs(w io.Writer, report *losses.Report, jobs []losses.Job) {
	table(w, func(row func(...any)) {
		row(append([]any{"AT_S", "JOB", "QUEUE", "PRIORITY", "OUTCOME", "TOOK_S", "OBJECTIVE_S", "LOST_TO"}, causeTitles()...)...)
		for i := range jobs {
			j := &jobs[i]
			row(append([]any{
				seconds(j.Sent.Sub(report.From).Seconds()), j.ID, j.Queue, j.Priority, string(j.Outcome),
				fmt.Sprintf("%.2f", j.Took.Seconds()), fmt.Sprintf("%.2f", j.Objective.Seconds()), string(j.Cause),
			}, causeCells(j.Spent)...)...)
		}
	})
}

// printSums writes a table with the jobs of each priority and their time by cause.
func printSums(w io.Writer, title string, sums []losses.Sum) {
	_, _ = fmt.Fprintln(w)
	table(w, func(row func(...any)) {
		row(append([]any{title, "PRIORITY_0", "PRIORITY_1", "OTHERS"}, causeTitles()...)...)
		for _, sum := range sums {
			others := 0
			for priority, n := range sum.Jobs {
				if priority != "0" && priority != "1" {
					others += n
				}
			}
			row(append([]any{sum.Name, sum.Jobs["0"], sum.Jobs["1"], others}, causeCells(sum.Spent)...)...)
		}
	})
}
