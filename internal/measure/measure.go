// Package measure defines the rows of the tables that `make measure` prints, and
// writes them as tables, comparisons and plots.
package measure

// Row is one set of measured figures: a load pattern at the size of a
// deployment under one policy (the product, a baseline, or the product with one
// decision disabled).
type Row struct {
	// Part is "requests", "gangs" or "dispatch".
	Part string
	// Pattern names the load pattern, for example "burst of small".
	Pattern string
	// Deployment is "klaverveld" or "lankapowder".
	Deployment string
	// Policy names the policy that made the decisions, for example "corianderbank"
	// or "fifo first fit".
	Policy string
	// Figures are the measured values, in the order of the table's columns.
	Figures []Figure
}

// Figure is one named value with its unit.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}
