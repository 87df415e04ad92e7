// Command measure plays the load patterns in virtual time, prints the figures
// and writes the table and the plots for the docs. The same seed gives the same
// figures.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/measure/gangload"
	"github.com/corianderbank/corianderbank/internal/measure/requestload"
)

// defaultSeed is the seed of the published figures.
const defaultSeed = 20261202

func main() {
	app := kingpin.New("measure", "Measures the decisions under load.")
	seed := app.Flag("seed", "Seed of every pattern.").Default(fmt.Sprint(defaultSeed)).Uint64()
	dir := app.Flag("out", "Directory of the table and the plots.").Default("docs/measure").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*seed, *dir); err != nil {
		app.Fatalf("%v", err)
	}
}

func run(seed uint64, dir string) error {
	rows := append(gangload.Run(seed), requestload.Run(seed)...)
	var table bytes.Buffer
	fmt.Fprintf(&table, "# Figures of make measure\n\nSeed %d.\n", seed)
	if err := measure.WriteTable(&table, rows); err != nil {
		return err
	}
	if _, err := os.Stdout.Write(table.Bytes()); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "table.md"), table.Bytes(), 0o644)
}
