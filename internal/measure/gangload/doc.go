// Package gangload simulates load patterns under placement policies in virtual
// time and measures the service that jobs receive. It exercises only the placement
// decisions: a worker is modelled by its rack, its accelerators and its health, and a
// gang by its placement and its run time. Equal seeds give equal figures.
package gangload
