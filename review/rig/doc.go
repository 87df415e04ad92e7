// Command rig plays one case of the second review: it starts a small deployment of the scheduler as
// separate processes, with a store, runners and clients of its own, and checks one rule by what
// these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run.
package main
