// Package capacity measures what the parts of the product cost on this machine,
// at several sizes, and fits the slopes that docs/CAPACITY.md works with. Its
// figures are of real time and vary from run to run.
package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the number of workers, tasks, accounts or whatever was varied.
	Size float64
	// Values are in the order of the series' names.
	Values []float64
}

// Series is a row of measurements over one size.
type Series struct {
	Title string
	// SizeName and Names are the columns, with units.
	SizeName string
	Names    []string
	Points   []Point
}

// Fit is a line through one column: value = At + Slope * size.
type Fit struct {
	Name  string
	At    float64
	Slope float64
	// Spread is the root of the mean squared distance of the points from it.
	Spread float64
}

// Fits returns the line of each column.
func (s Series) Fits() []Fit {
	sizes := make([]float64, len(s.Points))
	for i, point := range s.Points {
		sizes[i] = point.Size
	}
	fits := make([]Fit, len(s.Names))
	for column, name := range s.Names {
		values := make([]float64, len(s.Points))
		for i, point := range s.Points {
			values[i] = point.Values[column]
		}
		at, slope := stat.LinearRegression(sizes, values, nil, false)
		fits[column] = Fit{Name: name, At: at, Slope: slope, Spread: spread(sizes, values, at, slope)}
	}
	return fits
}

func spread(sizes, values []float64, at, slope float64) float64 {
	sum := 0.0
	for i := range sizes {
		distance := values[i] - (at + slope*sizes[i])
		sum += distance * distance
	}
	return math.Sqrt(sum / float64(len(sizes)))
}

// Write prints the points and the fitted lines.
func (s Series) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s\n", s.Title)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s", s.SizeName)
	for _, name := range s.Names {
		fmt.Fprintf(table, "\t%s", name)
	}
	fmt.Fprintln(table)
	for _, point := range s.Points {
		fmt.Fprintf(table, "%.0f", point.Size)
		for _, value := range point.Values {
			fmt.Fprintf(table, "\t%.4g", value)
		}
		fmt.Fprintln(table)
	}
	for _, line := range []string{"at 0", "slope", "spread"} {
		fmt.Fprintf(table, "%s", line)
		for _, fit := range s.Fits() {
			fmt.Fprintf(table, "\t%.4g", map[string]float64{"at 0": fit.At, "slope": fit.Slope, "spread": fit.Spread}[line])
		}
		fmt.Fprintln(table)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// usage is what the process has used so far.
type usage struct {
	cpu time.Duration
	at  time.Time
}

func usageNow() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	cpu := time.Duration(r.Utime.Nano()+r.Stime.Nano()) * time.Nanosecond
	return usage{cpu: cpu, at: time.Now()}
}

// corePercent is the share of one core used since before, in percent.
func corePercent(before usage) float64 {
	now := usageNow()
	return 100 * float64(now.cpu-before.cpu) / float64(now.at.Sub(before.at))
}

// heapMB is the live heap after a collection, in megabytes.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
