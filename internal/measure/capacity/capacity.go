// Package capacity measures the resource use of parts of the product on this
// machine at several sizes, and fits the slopes that docs/CAPACITY.md uses. It
// measures real time, so its figures vary from run to run.
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

// Point is one measurement at one size.
type Point struct {
	// Size is the varied quantity, for example the number of workers or accounts.
	Size float64
	// Values are in the order of Series.Names.
	Values []float64
}

// Series is a sequence of measurements at different sizes.
type Series struct {
	Title string
	// SizeName and Names are the column headers, with units.
	SizeName string
	Names    []string
	Points   []Point
}

// Fit is the linear fit of one column: value = Intercept + Slope * size.
type Fit struct {
	Name      string
	Intercept float64
	Slope     float64
	// RMSE is the root mean square error of the fit.
	RMSE float64
}

// Fits returns the linear fit of each column.
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
		intercept, slope := stat.LinearRegression(sizes, values, nil, false)
		fits[column] = Fit{Name: name, Intercept: intercept, Slope: slope, RMSE: rootMeanSquareError(sizes, values, intercept, slope)}
	}
	return fits
}

func rootMeanSquareError(sizes, values []float64, intercept, slope float64) float64 {
	sum := 0.0
	for i := range sizes {
		distance := values[i] - (intercept + slope*sizes[i])
		sum += distance * distance
	}
	return math.Sqrt(sum / float64(len(sizes)))
}

// Write writes the points and the linear fits as a table.
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
			fmt.Fprintf(table, "\t%.4g", map[string]float64{"at 0": fit.Intercept, "slope": fit.Slope, "spread": fit.RMSE}[line])
		}
		fmt.Fprintln(table)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// usage is the CPU time that the process has used up to a point in time.
type usage struct {
	cpu time.Duration
	at  time.Time
}

func currentUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	cpu := time.Duration(r.Utime.Nano()+r.Stime.Nano()) * time.Nanosecond
	return usage{cpu: cpu, at: time.Now()}
}

// corePercent returns the CPU use since before, in percent of one core.
func corePercent(before usage) float64 {
	now := currentUsage()
	return 100 * float64(now.cpu-before.cpu) / float64(now.at.Sub(before.at))
}

// heapMB runs a garbage collection and returns the size of the live heap, in
// units of 2^20 bytes.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
