package rules

import (
	"slices"
	"sort"
)

// This file converts the conditions of a list of rules to finite sets, so that
// questions about all situations can be answered exactly. Each field of a condition is
// one dimension. A dimension is divided into atoms at every value that occurs in a
// rule, so that no rule distinguishes two situations in the same atom. A condition is
// then a box: the product of one set of atoms per dimension.

// The dimensions of a box.
const (
	dimWork = iota
	dimAccount
	dimKind
	dimZone
	dimAccelerators
	dimSlack
	dimIdempotent
	dimKeyed
	dimUrgent
	dimPlatform
	dimLoad
	dimensions
)

// atomsPerWord is the number of atoms in one word of a set.
const atomsPerWord = 64

// atoms is a set of atoms of one dimension, one bit each.
type atoms []uint64

// newAtoms returns the subset of n atoms for which in returns true.
func newAtoms(n int, in func(i int) bool) atoms {
	out := make(atoms, (n+atomsPerWord-1)/atomsPerWord)
	for i := range n {
		if in(i) {
			out[i/atomsPerWord] |= 1 << (i % atomsPerWord)
		}
	}
	return out
}

func (a atoms) empty() bool {
	for _, word := range a {
		if word != 0 {
			return false
		}
	}
	return true
}

func (a atoms) overlaps(b atoms) bool {
	for i := range a {
		if a[i]&b[i] != 0 {
			return true
		}
	}
	return false
}

func (a atoms) subsetOf(b atoms) bool {
	for i := range a {
		if a[i]&^b[i] != 0 {
			return false
		}
	}
	return true
}

func (a atoms) intersect(b atoms) atoms {
	out := make(atoms, len(a))
	for i := range a {
		out[i] = a[i] & b[i]
	}
	return out
}

func (a atoms) without(b atoms) atoms {
	out := make(atoms, len(a))
	for i := range a {
		out[i] = a[i] &^ b[i]
	}
	return out
}

// box is a product of sets of atoms. It is immutable.
type box [dimensions]atoms

func (b box) overlaps(other box) bool {
	for d := range b {
		if !b[d].overlaps(other[d]) {
			return false
		}
	}
	return true
}

func (b box) subsetOf(other box) bool {
	for d := range b {
		if !b[d].subsetOf(other[d]) {
			return false
		}
	}
	return true
}

func (b box) intersect(other box) box {
	var out box
	for d := range b {
		out[d] = b[d].intersect(other[d])
	}
	return out
}

// without returns disjoint boxes that together cover the part of b outside other.
func (b box) without(other box) []box {
	var rest []box
	remaining := b
	for d := range b {
		outside := remaining[d].without(other[d])
		if !outside.empty() {
			piece := remaining
			piece[d] = outside
			rest = append(rest, piece)
		}
		remaining[d] = remaining[d].intersect(other[d])
	}
	return rest
}

// space divides the dimensions into atoms for one list of rules.
type space struct {
	accounts, kinds, zones names
	accelerators           cuts
	slack, load            cuts
}

func newSpace(list []Rule) *space {
	s := &space{accounts: names{}, kinds: names{}, zones: names{}, accelerators: cuts{0, 1}}
	for _, rule := range list {
		when := rule.When
		s.accounts.add(when.Accounts)
		s.kinds.add(when.Kinds)
		s.zones.add(when.Zones)
		s.accelerators.addInt(when.MinAccelerators, 0)
		s.accelerators.addInt(when.MaxAccelerators, 1)
		s.slack.add(when.SlackBelowS, when.SlackAtLeastS)
		s.load.add(when.LoadAtLeast, when.LoadBelow)
	}
	s.accelerators.sortUnique()
	s.slack.sortUnique()
	s.load.sortUnique()
	return s
}

// boxOf returns the situations that a condition matches.
func (s *space) boxOf(when When) box {
	var b box
	b[dimWork] = newAtoms(2, func(i int) bool { return when.Work == "" || (i == 0) == (when.Work == WorkRequest) })
	b[dimAccount] = s.accounts.set(when.Accounts)
	b[dimKind] = s.kinds.set(when.Kinds)
	b[dimZone] = s.zones.set(when.Zones)
	b[dimAccelerators] = s.accelerators.between(intCut(when.MinAccelerators, 0), intCut(when.MaxAccelerators, 1))
	b[dimSlack] = s.slack.between(when.SlackAtLeastS, when.SlackBelowS)
	b[dimIdempotent] = flagAtoms(when.Idempotent)
	b[dimKeyed] = flagAtoms(when.Keyed)
	b[dimUrgent] = flagAtoms(when.Urgent)
	b[dimPlatform] = flagAtoms(when.PlatformReachable)
	b[dimLoad] = s.load.between(when.LoadAtLeast, when.LoadBelow)
	return b
}

// possibleSituations returns all situations that can occur: a request has no
// accelerators and is never urgent, a job has at least one accelerator, and a load
// level is not negative.
func (s *space) possibleSituations() []box {
	one, zero := 1.0, 0.0
	no := false
	request := s.boxOf(When{Work: WorkRequest, Urgent: &no})
	request[dimAccelerators] = s.accelerators.between(&zero, &one)
	job := s.boxOf(When{Work: WorkJob})
	job[dimAccelerators] = s.accelerators.between(&one, nil)
	load := s.load.atLeast(zero)
	request[dimLoad], job[dimLoad] = load, load
	return []box{request, job}
}

// names maps the names that occur in rules to atoms; one more atom stands for all other
// names.
type names map[string]int

func (n names) add(list []string) {
	for _, name := range list {
		if _, exists := n[name]; !exists {
			n[name] = len(n)
		}
	}
}

func (n names) set(list []string) atoms {
	if len(list) == 0 {
		return newAtoms(len(n)+1, func(int) bool { return true })
	}
	listed := make(map[int]bool, len(list))
	for _, name := range list {
		listed[n[name]] = true
	}
	return newAtoms(len(n)+1, func(i int) bool { return listed[i] })
}

// cuts are the values that divide a number line. Atom i holds the values from cut i-1,
// inclusive, to cut i, exclusive.
type cuts []float64

func (c *cuts) add(values ...*float64) {
	for _, value := range values {
		if value != nil {
			*c = append(*c, *value)
		}
	}
}

func (c *cuts) addInt(value *int, offset int) { c.add(intCut(value, offset)) }

func (c *cuts) sortUnique() {
	sort.Float64s(*c)
	*c = slices.Compact(*c)
}

// between returns the values from low, inclusive, to high, exclusive; nil means
// unbounded.
func (c cuts) between(low, high *float64) atoms {
	return newAtoms(len(c)+1, func(i int) bool {
		aboveLow := low == nil || i > 0 && c[i-1] >= *low
		belowHigh := high == nil || i < len(c) && c[i] <= *high
		return aboveLow && belowHigh
	})
}

// atLeast returns the atoms that contain a value of at least low.
func (c cuts) atLeast(low float64) atoms {
	return newAtoms(len(c)+1, func(i int) bool { return i == len(c) || c[i] > low })
}

// intCut returns the cut at value plus offset: below value with offset 0, above it with
// offset 1.
func intCut(value *int, offset int) *float64 {
	if value == nil {
		return nil
	}
	cut := float64(*value + offset)
	return &cut
}

func flagAtoms(want *bool) atoms {
	return newAtoms(2, func(i int) bool { return want == nil || *want == (i == 1) })
}
