// Command capacity measures the resource use of the product on this machine. It
// produces the figures in docs/CAPACITY.md and docs/MEASUREMENTS.md. They depend
// on real time and vary from run to run.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/internal/measure/capacity"
)

func main() {
	app := kingpin.New("capacity", "Measures costs and slopes on this machine.")
	addPlacer(app)
	addWaiting(app)
	addConfig(app)
	addPath(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func addPlacer(app *kingpin.Application) {
	command := app.Command("placer", "A zone's placer over the number of workers.")
	sizes := command.Flag("workers", "Numbers of workers, once for each.").Default("50", "100", "200", "400", "640").Ints()
	duration := command.Flag("each", "Time measured at each size.").Default("10s").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		series, err := capacity.PlacerWorkers(*sizes, *duration)
		if err != nil {
			return err
		}
		return series.Write(os.Stdout)
	})
}

func addWaiting(app *kingpin.Application) {
	command := app.Command("waiting", "A full zone's placer over the number of waiting jobs.")
	workers := command.Flag("workers", "Number of workers.").Default("640").Int()
	sizes := command.Flag("waiting", "Numbers of waiting jobs, once for each.").Default("0", "100", "250", "500").Ints()
	duration := command.Flag("each", "Time measured at each size.").Default("10s").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		series, err := capacity.PlacerWaiting(*workers, *sizes, *duration)
		if err != nil {
			return err
		}
		return series.Write(os.Stdout)
	})
}

func addConfig(app *kingpin.Application) {
	command := app.Command("config", "A configuration over the number of client accounts.")
	sizes := command.Flag("accounts", "Numbers of client accounts, once for each.").Default("4", "20", "40", "80", "160").Ints()
	command.Action(func(*kingpin.ParseContext) error {
		series, err := capacity.ConfigAccounts(*sizes)
		if err != nil {
			return err
		}
		return series.Write(os.Stdout)
	})
}

func addPath(app *kingpin.Application) {
	command := app.Command("path", "Requests through an entry instance against direct calls of a backend server.")
	entry := command.Flag("entry", "IP number and port of an entry instance.").Required().String()
	backend := command.Flag("backend", "IP number and port of a backend server.").Required().String()
	concurrency := command.Flag("concurrency", "Calls under way, once for each.").Default("1", "4", "8").Ints()
	duration := command.Flag("each", "Time measured at each concurrency.").Default("5s").Duration()
	work := command.Flag("work", "Time that a backend server works on each.").Default("2ms").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		fmt.Println("path    calls  per second  p50 ms  p99 ms  not done")
		for _, calls := range *concurrency {
			printResult(capacity.MeasurePath(capacity.Path{Name: "direct", URL: "http://" + *backend + "/v1/execute", Direct: true}, calls, *duration, *work))
			printResult(capacity.MeasurePath(capacity.Path{Name: "entry", URL: "http://" + *entry + "/v1/requests"}, calls, *duration, *work))
		}
		return nil
	})
}

func printResult(r capacity.PathResult) {
	const perMS = float64(time.Millisecond)
	fmt.Printf("%-7s %5d  %10.0f  %6.2f  %6.2f  %8d\n", r.Name, r.Concurrency, r.PerSecond, float64(r.P50)/perMS, float64(r.P99)/perMS, r.NotDone)
}
