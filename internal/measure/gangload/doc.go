// Package gangload plays load patterns against placement policies in virtual
// time and measures what jobs get. It is a harness of the decisions: workers are
// counters, and a gang is its run time. The same seed gives the same figures.
package gangload
