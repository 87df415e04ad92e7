// Package chart loads state charts from JSON files and interprets them. The
// charts are the only definition of the transitions between states; an
// undeclared transition is an error.
package chart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/corianderbank/corianderbank/charts"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// StateSpec is one state of a chart file.
type StateSpec struct {
	// Doc describes the state.
	Doc string `json:"doc"`
	// Final marks a state without outgoing transitions.
	Final bool `json:"final,omitempty"`
	// On maps each handled event to the next state.
	On map[Event]State `json:"on,omitempty"`
	// Ignore lists events that are allowed in this state and do not change it.
	Ignore []Event `json:"ignore,omitempty"`
}

// Chart is a loaded state chart. It is immutable.
type Chart struct {
	Name    string              `json:"name"`
	Doc     string              `json:"doc"`
	Initial State               `json:"initial"`
	Events  []Event             `json:"events"`
	States  map[State]StateSpec `json:"states"`
}

// TransitionError reports an event that the chart does not declare in a state.
type TransitionError struct {
	Chart string
	From  State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: event %q is not declared in state %q", e.Chart, e.Event, e.From)
}

// Load parses and validates a chart.
func Load(data []byte) (*Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var chart Chart
	if err := decoder.Decode(&chart); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	if problems := chart.Check(); len(problems) > 0 {
		return nil, fmt.Errorf("chart %s: %s", chart.Name, strings.Join(problems, "; "))
	}
	return &chart, nil
}

// MustLoad loads the embedded chart of the given name. It panics on an error;
// a test of this package checks that every embedded chart loads.
func MustLoad(name string) *Chart {
	chart, err := loadFrom(charts.Files, name)
	if err != nil {
		panic(err)
	}
	return chart
}

func loadFrom(files embed.FS, name string) (*Chart, error) {
	data, err := files.ReadFile(name + ".json")
	if err != nil {
		return nil, err
	}
	return Load(data)
}

// Next returns the state that event leads to from the given state. For an
// undeclared event it returns the unchanged state and a *TransitionError.
func (c *Chart) Next(from State, event Event) (State, error) {
	spec, ok := c.States[from]
	if !ok {
		return from, &TransitionError{c.Name, from, event}
	}
	if next, ok := spec.On[event]; ok {
		return next, nil
	}
	for _, ignored := range spec.Ignore {
		if ignored == event {
			return from, nil
		}
	}
	return from, &TransitionError{c.Name, from, event}
}

// Final reports whether state is a final state of the chart.
func (c *Chart) Final(state State) bool { return c.States[state].Final }

// Check returns every fault of the chart: unknown names, unreachable states,
// states without a doc, events that a state neither handles nor ignores or
// lists twice, and states whose final mark contradicts their transitions.
func (c *Chart) Check() []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if _, ok := c.States[c.Initial]; !ok {
		report("initial state %q is not declared", c.Initial)
	}
	for _, name := range c.stateNames() {
		c.checkState(name, report)
	}
	for _, name := range c.unreachable() {
		report("state %q is not reachable", name)
	}
	return problems
}

func (c *Chart) checkState(name State, report func(string, ...any)) {
	spec := c.States[name]
	if spec.Doc == "" {
		report("state %q has no doc", name)
	}
	if spec.Final != (len(spec.On) == 0) {
		report("state %q: final must be set if and only if the state has no outgoing transitions", name)
	}
	known := make(map[Event]bool, len(c.Events))
	for _, event := range c.Events {
		known[event] = true
	}
	handled := make(map[Event]int)
	for event, next := range spec.On {
		handled[event]++
		if _, ok := c.States[next]; !ok {
			report("state %q: event %q leads to undeclared state %q", name, event, next)
		}
	}
	for _, event := range spec.Ignore {
		handled[event]++
	}
	for event, count := range handled {
		if !known[event] {
			report("state %q: event %q is not declared", name, event)
		}
		if count > 1 {
			report("state %q: event %q is handled twice", name, event)
		}
	}
	for _, event := range c.Events {
		if handled[event] == 0 {
			report("state %q: event %q is not handled", name, event)
		}
	}
}

func (c *Chart) unreachable() []State {
	seen := map[State]bool{c.Initial: true}
	pending := []State{c.Initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, next := range c.States[state].On {
			if !seen[next] {
				seen[next] = true
				pending = append(pending, next)
			}
		}
	}
	var unreached []State
	for _, name := range c.stateNames() {
		if !seen[name] {
			unreached = append(unreached, name)
		}
	}
	return unreached
}

func (c *Chart) stateNames() []State {
	names := make([]State, 0, len(c.States))
	for name := range c.States {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Mermaid renders the chart as a Mermaid state diagram for the docs.
func (c *Chart) Mermaid() string {
	var out strings.Builder
	out.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&out, "    [*] --> %s\n", c.Initial)
	for _, name := range c.stateNames() {
		spec := c.States[name]
		for _, event := range c.Events {
			if next, ok := spec.On[event]; ok {
				fmt.Fprintf(&out, "    %s --> %s: %s\n", name, next, event)
			}
		}
		if spec.Final {
			fmt.Fprintf(&out, "    %s --> [*]\n", name)
		}
	}
	return out.String()
}
