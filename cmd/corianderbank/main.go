// Command corianderbank is the one binary: the entry instance and the
// operators' command line.
package main

func main() {}
