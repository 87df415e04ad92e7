package rules

import "strings"

// maxPieces bounds the number of boxes that a rule is divided into while the rules
// above it are subtracted; a rule that needs more counts as reachable. The largest
// hand-written lists stay far below it.
const maxPieces = 2000

// maxSubtractions bounds the subtractions of one box from another while a whole list is
// checked, so that the check takes at most a fraction of a second.
const maxSubtractions = 500_000

// reachability determines which rules of a list can decide.
type reachability struct {
	list  []Rule
	boxes []box
	space *space
	// remaining counts down from maxSubtractions.
	remaining int
}

func newReachability(list []Rule) *reachability {
	r := &reachability{list: list, space: newSpace(list), remaining: maxSubtractions}
	for _, rule := range list {
		r.boxes = append(r.boxes, r.space.boxOf(rule.When))
	}
	return r
}

// pieces returns the possible situations that rule i matches.
func (r *reachability) pieces(i int) []box {
	var pieces []box
	for _, possible := range r.space.possibleSituations() {
		if possible.overlaps(r.boxes[i]) {
			pieces = append(pieces, possible.intersect(r.boxes[i]))
		}
	}
	return pieces
}

// shadowedBy returns the rules above rule i that together decide every situation it
// matches. It returns nil if rule i can decide one, or if checking exceeds maxPieces or
// maxSubtractions.
func (r *reachability) shadowedBy(i int) []string {
	pieces := r.pieces(i)
	if alone := r.shadowedByOne(i, pieces); alone != "" {
		return []string{alone}
	}
	var above []string
	for j := 0; j < i && len(pieces) > 0; j++ {
		r.remaining -= len(pieces)
		if r.remaining < 0 || len(pieces) > maxPieces {
			return nil
		}
		rest, overlapped := subtract(pieces, r.boxes[j])
		if overlapped {
			above = append(above, r.list[j].Name)
		}
		pieces = rest
	}
	if len(pieces) > 0 {
		return nil
	}
	return above
}

// shadowedByOne returns the first rule above rule i that alone covers all pieces.
func (r *reachability) shadowedByOne(i int, pieces []box) string {
	for j := range i {
		if allWithin(pieces, r.boxes[j]) {
			return r.list[j].Name
		}
	}
	return ""
}

func allWithin(pieces []box, other box) bool {
	for _, piece := range pieces {
		if !piece.subsetOf(other) {
			return false
		}
	}
	return len(pieces) > 0
}

// subtract removes other from every piece, and reports whether any piece overlapped it.
func subtract(pieces []box, other box) (rest []box, overlapped bool) {
	for _, piece := range pieces {
		if piece.overlaps(other) {
			overlapped = true
			rest = append(rest, piece.without(other)...)
			continue
		}
		rest = append(rest, piece)
	}
	return rest, overlapped
}

func quoted(names []string) string { return `"` + strings.Join(names, `", "`) + `"` }
