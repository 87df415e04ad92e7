// Package gangload simulates load patterns under placement policies in virtual
// time and measures the service that jobs receive. It exercises only the placement
// decisions: a worker is a number of accelerators, and a gang is a run time. Equal
// seeds give equal figures.
package gangload
