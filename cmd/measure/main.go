// Command measure plays the load patterns in virtual time, prints the figures
// and writes the table and the plots for the docs. The same seed gives the same
// figures.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/internal/emulator"
	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/measure/gangload"
	"github.com/corianderbank/corianderbank/internal/measure/requestload"
)

// defaultSeed is the seed of the published figures.
const defaultSeed = 20261202

// comparedGangs are the figures by which gang policies are compared.
var comparedGangs = []measure.Compared{
	{Name: "completion p50", Better: measure.Lower},
	{Name: "completion p99", Better: measure.Lower},
	{Name: "slowdown p99", Better: measure.Lower},
	{Name: "deadlines met", Better: measure.Higher},
	{Name: "claim start p99", Better: measure.Lower},
	{Name: "urgent start p99", Better: measure.Lower},
	{Name: "fragmented", Better: measure.Lower},
	{Name: "stranded", Better: measure.Lower},
	{Name: "worst share", Better: measure.Higher},
	{Name: "goodput", Better: measure.Higher},
}

// plotted are the figures that are drawn.
var plotted = []string{"slowdown p99", "completion p99", "deadlines met", "stranded", "urgent start p99", "worst share"}

func main() {
	app := kingpin.New("measure", "Measures the decisions under load.")
	all := app.Command("all", "Play all patterns and write the table and the plots.").Default()
	seed := all.Flag("seed", "Seed of every pattern.").Default(fmt.Sprint(defaultSeed)).Uint64()
	dir := all.Flag("out", "Directory of the table and the plots.").Default("docs/measure").String()
	var e experiment
	compare := app.Command("experiment", "Play days of deployments with mechanisms off, on paired seeds.")
	e.flags(compare)
	commands := map[string]func() error{
		all.FullCommand():     func() error { return run(*seed, *dir) },
		compare.FullCommand(): func() error { return e.run(os.Stdout) },
	}
	if err := commands[kingpin.MustParse(app.Parse(os.Args[1:]))](); err != nil {
		app.Fatalf("%v", err)
	}
}

func run(seed uint64, dir string) error {
	gangs, err := gangload.Run(seed)
	if err != nil {
		return err
	}
	days, err := emulator.Rows(seed)
	if err != nil {
		return err
	}
	rows := append(requestload.Run(seed), gangs...)
	rows = append(rows, days...)
	table, err := report(seed, rows, gangs)
	if err != nil {
		return err
	}
	if _, err := os.Stdout.Write(table); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "table.md"), table, 0o644); err != nil {
		return err
	}
	return plots(gangs, dir)
}

// report is the page with all tables and the comparison with the baselines.
func report(seed uint64, rows, gangs []measure.Row) ([]byte, error) {
	var page bytes.Buffer
	fmt.Fprintf(&page, "# Figures of make measure\n\nWritten by `make measure` with seed %d. What the figures mean: ../MEASUREMENTS.md.\n", seed)
	if err := measure.WriteTable(&page, rows); err != nil {
		return nil, err
	}
	fmt.Fprintf(&page, "\n### gangs: more than 5%% worse than the best baseline\n\n")
	_, err := measure.WriteWorse(&page, gangs, gangload.PolicyProduct, gangload.Baselines(), comparedGangs)
	return page.Bytes(), err
}

// plots draws one chart for each figure and deployment.
func plots(gangs []measure.Row, dir string) error {
	policies := append([]string{gangload.PolicyProduct}, gangload.Baselines()...)
	for _, deployment := range gangload.Deployments() {
		for _, figure := range plotted {
			name := strings.ReplaceAll("gangs "+deployment.Name+" "+figure, " ", "-") + ".svg"
			bars := measure.BarsOf(gangs, gangload.PartGangs, deployment.Name, figure, policies)
			if err := bars.WriteSVG(filepath.Join(dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}
