package rules

import "strings"

// maxPieces bounds the boxes that a rule is cut into while the rules above it
// are taken away; a rule that needs more counts as reachable. The largest
// hand-written lists stay far below it.
const maxPieces = 2000

// maxSubtractions bounds the work for a whole list, to a fraction of a second.
const maxSubtractions = 500_000

// reach answers which rules of a list can decide.
type reach struct {
	list  []Rule
	boxes []box
	space *space
	// left counts down from maxSubtractions.
	left int
}

func newReach(list []Rule) *reach {
	r := &reach{list: list, space: newSpace(list), left: maxSubtractions}
	for _, rule := range list {
		r.boxes = append(r.boxes, r.space.boxOf(rule.When))
	}
	return r
}

// pieces returns the possible situations that rule i matches.
func (r *reach) pieces(i int) []box {
	var pieces []box
	for _, possible := range r.space.possible() {
		if possible.overlaps(r.boxes[i]) {
			pieces = append(pieces, possible.and(r.boxes[i]))
		}
	}
	return pieces
}

// shadowedBy returns the rules above rule i that together decide every
// situation it matches, or nil if it can decide one (or if that would take too
// much work to rule out).
func (r *reach) shadowedBy(i int) []string {
	pieces := r.pieces(i)
	if alone := r.shadowedByOne(i, pieces); alone != "" {
		return []string{alone}
	}
	var above []string
	for j := 0; j < i && len(pieces) > 0; j++ {
		r.left -= len(pieces)
		if r.left < 0 || len(pieces) > maxPieces {
			return nil
		}
		rest, cut := subtract(pieces, r.boxes[j])
		if cut {
			above = append(above, r.list[j].Name)
		}
		pieces = rest
	}
	if len(pieces) > 0 {
		return nil
	}
	return above
}

// shadowedByOne returns the first rule above that alone covers all pieces.
func (r *reach) shadowedByOne(i int, pieces []box) string {
	for j := range i {
		if allWithin(pieces, r.boxes[j]) {
			return r.list[j].Name
		}
	}
	return ""
}

func allWithin(pieces []box, other box) bool {
	for _, piece := range pieces {
		if !piece.within(other) {
			return false
		}
	}
	return len(pieces) > 0
}

// subtract takes other away from every piece, and reports whether there was
// anything to take away.
func subtract(pieces []box, other box) (rest []box, cut bool) {
	for _, piece := range pieces {
		if piece.overlaps(other) {
			cut = true
			rest = append(rest, piece.without(other)...)
			continue
		}
		rest = append(rest, piece)
	}
	return rest, cut
}

func quoted(names []string) string { return `"` + strings.Join(names, `", "`) + `"` }
