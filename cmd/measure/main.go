// Command measure simulates the load patterns in virtual time, prints the figures
// and writes the table and the plots for the docs. Equal seeds give equal figures.
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

// defaultSeed is the seed that produced the published figures.
const defaultSeed = 20261202

// comparedGangFigures are the figures in which gang policies are compared.
var comparedGangFigures = []measure.ComparedFigure{
	{Name: "completion p50", Direction: measure.LowerIsBetter},
	{Name: "completion p99", Direction: measure.LowerIsBetter},
	{Name: "slowdown p99", Direction: measure.LowerIsBetter},
	{Name: "deadlines met", Direction: measure.HigherIsBetter},
	{Name: "claim start p99", Direction: measure.LowerIsBetter},
	{Name: "urgent start p99", Direction: measure.LowerIsBetter},
	{Name: "fragmented", Direction: measure.LowerIsBetter},
	{Name: "stranded", Direction: measure.LowerIsBetter},
	{Name: "worst share", Direction: measure.HigherIsBetter},
	{Name: "goodput", Direction: measure.HigherIsBetter},
}

// plottedFigures are the figures that are plotted, one chart each.
var plottedFigures = []string{"slowdown p99", "completion p99", "deadlines met", "stranded", "urgent start p99", "worst share"}

func main() {
	app := kingpin.New("measure", "Measures the decisions under load.")
	allCommand := app.Command("all", "Play all patterns and write the table and the plots.").Default()
	seed := allCommand.Flag("seed", "Seed of every pattern.").Default(fmt.Sprint(defaultSeed)).Uint64()
	dir := allCommand.Flag("out", "Directory of the table and the plots.").Default("docs/measure").String()
	var exp experiment
	experimentCommand := app.Command("experiment", "Play days of deployments with mechanisms off, on paired seeds.")
	exp.registerFlags(experimentCommand)
	commands := map[string]func() error{
		allCommand.FullCommand():        func() error { return run(*seed, *dir) },
		experimentCommand.FullCommand(): func() error { return exp.run(os.Stdout) },
	}
	if err := commands[kingpin.MustParse(app.Parse(os.Args[1:]))](); err != nil {
		app.Fatalf("%v", err)
	}
}

func run(seed uint64, dir string) error {
	gangRows, err := gangload.Run(seed)
	if err != nil {
		return err
	}
	dayRows, err := emulator.Rows(seed)
	if err != nil {
		return err
	}
	rows := append(requestload.Run(seed), gangRows...)
	rows = append(rows, dayRows...)
	table, err := renderReport(seed, rows, gangRows)
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
	return writePlots(gangRows, dir)
}

// renderReport returns the page with all tables and the comparison with the
// baselines.
func renderReport(seed uint64, rows, gangRows []measure.Row) ([]byte, error) {
	var page bytes.Buffer
	fmt.Fprintf(&page, "# Figures of make measure\n\nWritten by `make measure` with seed %d. What the figures mean: ../MEASUREMENTS.md.\n", seed)
	if err := measure.WriteTable(&page, rows); err != nil {
		return nil, err
	}
	fmt.Fprintf(&page, "\n### gangs: more than 5%% worse than the best baseline\n\n")
	_, err := measure.WriteShortfalls(&page, gangRows, gangload.PolicyProduct, gangload.Baselines(), comparedGangFigures)
	return page.Bytes(), err
}

// writePlots writes one chart for each figure and deployment to dir.
func writePlots(gangRows []measure.Row, dir string) error {
	policies := append([]string{gangload.PolicyProduct}, gangload.Baselines()...)
	for _, deployment := range gangload.Deployments() {
		for _, figure := range plottedFigures {
			name := strings.ReplaceAll("gangs "+deployment.Name+" "+figure, " ", "-") + ".svg"
			chart := measure.NewBarChart(gangRows, gangload.PartGangs, deployment.Name, figure, policies)
			if err := chart.WriteSVG(filepath.Join(dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}
