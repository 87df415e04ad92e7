package rules

import (
	"slices"
	"sort"
)

// This file turns the conditions of a list of rules into finite sets, so that
// questions about all situations have exact answers. Each field of a condition
// is one dimension. A dimension is cut into atoms at every value that some rule
// names: no rule tells two situations of one atom apart. A condition is then a
// box, the product of a set of atoms for each dimension.

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

// newAtoms returns the set of those of n atoms that in holds for.
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

func (a atoms) within(b atoms) bool {
	for i := range a {
		if a[i]&^b[i] != 0 {
			return false
		}
	}
	return true
}

func (a atoms) and(b atoms) atoms {
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

// box is a product of sets of atoms. It is not changed once made.
type box [dimensions]atoms

func (b box) overlaps(other box) bool {
	for d := range b {
		if !b[d].overlaps(other[d]) {
			return false
		}
	}
	return true
}

func (b box) within(other box) bool {
	for d := range b {
		if !b[d].within(other[d]) {
			return false
		}
	}
	return true
}

func (b box) and(other box) box {
	var out box
	for d := range b {
		out[d] = b[d].and(other[d])
	}
	return out
}

// without returns boxes that do not overlap and together hold what is in b and
// not in other.
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
		remaining[d] = remaining[d].and(other[d])
	}
	return rest
}

// space cuts the dimensions for one list of rules.
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
	s.accelerators.tidy()
	s.slack.tidy()
	s.load.tidy()
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
	b[dimIdempotent] = flag(when.Idempotent)
	b[dimKeyed] = flag(when.Keyed)
	b[dimUrgent] = flag(when.Urgent)
	b[dimPlatform] = flag(when.PlatformReachable)
	b[dimLoad] = s.load.between(when.LoadAtLeast, when.LoadBelow)
	return b
}

// possible returns every situation that can occur: a request has no
// accelerators and is never urgent, a job has at least one accelerator, and a
// load level is not negative.
func (s *space) possible() []box {
	one, zero := 1.0, 0.0
	no := false
	request := s.boxOf(When{Work: WorkRequest, Urgent: &no})
	request[dimAccelerators] = s.accelerators.between(&zero, &one)
	job := s.boxOf(When{Work: WorkJob})
	job[dimAccelerators] = s.accelerators.between(&one, nil)
	load := s.load.from(zero)
	request[dimLoad], job[dimLoad] = load, load
	return []box{request, job}
}

// names numbers the names that rules list; one more atom stands for all others.
type names map[string]int

func (n names) add(list []string) {
	for _, name := range list {
		if _, known := n[name]; !known {
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

// cuts are the values at which a number line is cut. Atom i holds the values
// from cut i-1, inclusively, to cut i, exclusively.
type cuts []float64

func (c *cuts) add(values ...*float64) {
	for _, value := range values {
		if value != nil {
			*c = append(*c, *value)
		}
	}
}

func (c *cuts) addInt(value *int, plus int) { c.add(intCut(value, plus)) }

func (c *cuts) tidy() {
	sort.Float64s(*c)
	*c = slices.Compact(*c)
}

// between returns the values from low, inclusively, to high, exclusively; nil
// is no bound.
func (c cuts) between(low, high *float64) atoms {
	return newAtoms(len(c)+1, func(i int) bool {
		aboveLow := low == nil || i > 0 && c[i-1] >= *low
		belowHigh := high == nil || i < len(c) && c[i] <= *high
		return aboveLow && belowHigh
	})
}

// from returns every atom that holds a value of at least low.
func (c cuts) from(low float64) atoms {
	return newAtoms(len(c)+1, func(i int) bool { return i == len(c) || c[i] > low })
}

// intCut is the cut below value, or above it with plus 1.
func intCut(value *int, plus int) *float64 {
	if value == nil {
		return nil
	}
	cut := float64(*value + plus)
	return &cut
}

func flag(want *bool) atoms {
	return newAtoms(2, func(i int) bool { return want == nil || *want == (i == 1) })
}
