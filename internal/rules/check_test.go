package rules

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// checkText checks a JSON list of rules with the client accounts a and b.
func checkText(t *testing.T, text string) []string {
	t.Helper()
	var list []Rule
	assert.NilError(t, json.Unmarshal([]byte(text), &list))
	var found []string
	for _, problem := range Check(list, []string{"a", "b"}, "", strictjson.Index("f", []byte(text))) {
		found = append(found, fmt.Sprintf("%d:%d %s %s", problem.Line, problem.Column, problem.Path, problem.Message))
	}
	return found
}

// list builds a JSON list of rules from alternating when and then parts, one per line,
// named r1, r2 and so on.
func list(parts ...string) string {
	var lines []string
	for i := 0; i < len(parts); i += 2 {
		lines = append(lines, fmt.Sprintf(`{"name":"r%d","when":%s,"then":%s}`, i/2+1, parts[i], parts[i+1]))
	}
	return "[" + strings.Join(lines, ",\n") + "]"
}

func TestCheckFindsProblems(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"a valid list has no problems": {list(`{"kinds":["k"]}`, `{"priority":1}`, `{}`, `{}`), nil},
		"a rule below one that matches more": {
			list(`{"kinds":["k","l"]}`, `{}`, `{"kinds":["k"],"idempotent":true}`, `{}`, `{}`, `{}`),
			[]string{`2:1 /1 can never decide: rule "r1" above matches everything it matches`},
		},
		"a rule below two that together match its situations": {
			list(`{"idempotent":true}`, `{}`, `{"idempotent":false}`, `{}`, `{"kinds":["k"]}`, `{}`, `{}`, `{}`),
			[]string{
				`3:1 /2 can never decide: the rules "r1", "r2" above together match everything it matches`,
				`4:1 /3 can never decide: the rules "r1", "r2" above together match everything it matches`,
			},
		},
		"adjacent intervals that cover a larger one": {
			list(`{"load_below":0.5}`, `{}`, `{"load_at_least":0.5,"load_below":0.9}`, `{}`, `{"load_at_least":0.2,"load_below":0.8}`, `{}`, `{}`, `{}`),
			[]string{`3:1 /2 can never decide: the rules "r1", "r2" above together match everything it matches`},
		},
		"an interval that extends one accelerator further is reachable": {
			list(`{"max_accelerators":7}`, `{}`, `{"max_accelerators":8}`, `{}`, `{}`, `{}`), nil,
		},
		"two slack rules also match work without a deadline": {
			list(`{"slack_below_s":10}`, `{}`, `{"slack_at_least_s":10}`, `{}`, `{}`, `{}`),
			[]string{`3:1 /2 can never decide: the rules "r1", "r2" above together match everything it matches`},
		},
		"an account list never hides the catch-all": {list(`{"accounts":["a","b"]}`, `{}`, `{}`, `{}`), nil},
		"a rule for no accelerators matches every request": {
			list(`{"max_accelerators":0}`, `{}`, `{"work":"request"}`, `{}`, `{}`, `{}`),
			[]string{`2:1 /1 can never decide: rule "r1" above matches everything it matches`},
		},
		"every request has zero accelerators": {
			list(`{"work":"request","min_accelerators":0,"urgent":false}`, `{}`, `{"max_accelerators":0}`, `{}`, `{}`, `{}`),
			[]string{`2:1 /1 can never decide: rule "r1" above matches everything it matches`},
		},
		"every load is at least zero": {
			list(`{"load_at_least":0}`, `{}`, `{}`, `{}`),
			[]string{`2:1 /1 can never decide: rule "r1" above matches everything it matches`},
		},
		"unknown accounts": {
			list(`{"accounts":["a","c"]}`, `{}`, `{}`, `{}`), []string{`1:39 /0/when/accounts/1 unknown client account "c"`},
		},
		"inverted bounds": {
			list(`{"min_accelerators":9,"max_accelerators":8}`, `{}`, `{"slack_at_least_s":5,"slack_below_s":5}`, `{}`, `{"load_at_least":2,"load_below":1}`, `{}`, `{}`, `{}`),
			[]string{
				`1:42 /0/when/min_accelerators matches nothing: min_accelerators 9 is above max_accelerators 8`,
				`2:41 /1/when/slack_at_least_s matches nothing: slack_at_least_s 5 is not below slack_below_s 5`,
				`3:38 /2/when/load_at_least matches nothing: load_at_least 2 is not below load_below 1`,
			},
		},
		"requests with accelerators": {
			list(`{"work":"request","min_accelerators":1}`, `{}`, `{}`, `{}`),
			[]string{`1:59 /0/when/min_accelerators matches nothing: a request has no accelerators`},
		},
		"urgent work without accelerators": {
			list(`{"urgent":true,"max_accelerators":0}`, `{}`, `{}`, `{}`),
			[]string{`1:22 /0/when matches nothing: no request and no job is like that`},
		},
		"fields for admitted work together with refuse": {
			list(`{"kinds":["k"]}`, `{"refuse":true,"priority":3,"spill":false}`, `{}`, `{"retry_after_s":5}`),
			[]string{
				`1:71 /0/then/priority priority has no meaning beside refuse`,
				`1:81 /0/then/spill spill has no meaning beside refuse`,
				`2:48 /1/then/retry_after_s retry_after_s has no meaning without refuse`,
			},
		},
		"fields for the other type of work": {
			list(`{"work":"request"}`, `{"borrow":true}`, `{"work":"job"}`, `{"retries":1}`, `{}`, `{}`),
			[]string{
				`1:58 /0/then/borrow borrow has no meaning for requests`,
				`2:54 /1/then/retries retries has no meaning for jobs`,
				`3:1 /2 can never decide: the rules "r1", "r2" above together match everything it matches`,
			},
		},
		"no catch-all": {
			list(`{"work":"request"}`, `{}`), []string{`1:22 /0/when the last rule must match everything: its condition must be empty`},
		},
		"no rule": {`[]`, []string{`1:1  there is no rule; the last one must match everything`}},
		"a duplicate name": {
			`[{"name":"r","when":{"keyed":true},"then":{}},{"name":"r","when":{},"then":{}}]`,
			[]string{`1:55 /1/name duplicate name "r", first used by rule 1`},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, checkText(t, tc.text), tc.want)
		})
	}
}

// The values used by random rules and by the enumeration below.
var (
	sampleNames = []string{"a", "b"}
	sampleCuts  = []float64{0, 1, 2}
)

func randomWhen(r *rand.Rand) When {
	var when When
	when.Work = []Work{"", "", WorkRequest, WorkJob}[r.IntN(4)]
	if r.IntN(3) == 0 {
		when.Kinds = sampleNames[r.IntN(2):]
	}
	for _, target := range []**bool{&when.Idempotent, &when.Urgent} {
		if r.IntN(3) == 0 {
			value := r.IntN(2) == 0
			*target = &value
		}
	}
	for _, target := range []**float64{&when.SlackBelowS, &when.SlackAtLeastS, &when.LoadAtLeast, &when.LoadBelow} {
		if r.IntN(5) == 0 {
			*target = &sampleCuts[r.IntN(3)]
		}
	}
	for _, target := range []**int{&when.MinAccelerators, &when.MaxAccelerators} {
		if r.IntN(4) == 0 {
			value := r.IntN(3)
			*target = &value
		}
	}
	return when
}

// forEachSituation calls f for at least one situation of each group that the random rules
// can distinguish.
func forEachSituation(f func(Situation)) {
	for _, kind := range []string{"a", "b", "other"} {
		for _, slack := range []float64{-1, 0, 1, 2, 3} {
			for _, load := range []float64{0, 1, 2} {
				for bits := range 8 {
					s := Situation{Work: WorkRequest, Kind: kind, HasDeadline: slack < 3, SlackS: slack, Load: load, Idempotent: bits&1 > 0}
					f(s)
					s.Work, s.Urgent, s.Accelerators = WorkJob, bits&2 > 0, 1+(bits>>2)*2
					f(s)
					s.Accelerators = 2
					f(s)
				}
			}
		}
	}
}

func TestReachabilityAgreesWithEnumeration(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1))
		rules := make([]Rule, 1+random.IntN(6))
		for i := range rules {
			rules[i] = Rule{Name: fmt.Sprint(i), When: randomWhen(random)}
		}
		decides := make(map[string]bool)
		set := NewSet(rules)
		forEachSituation(func(s Situation) { decides[set.Decide(s).Rule] = true })
		analysis := newReachability(rules)
		for i, rule := range rules {
			reachable := len(analysis.pieces(i)) > 0 && analysis.shadowedBy(i) == nil
			assert.Equal(t, reachable, decides[rule.Name], "seed %d, rule %d of %+v", seed, i, rules)
		}
	}
}

func TestExplainReturnsTheFirstMismatchOfEachRule(t *testing.T) {
	var rules []Rule
	text := list(`{"work":"job"}`, `{}`, `{"accounts":["a"]}`, `{}`, `{"availability_zones":["z"]}`, `{}`,
		`{"min_accelerators":1}`, `{}`, `{"slack_below_s":5}`, `{}`, `{"keyed":true}`, `{}`, `{"load_at_least":0.5}`, `{}`, `{}`, `{}`)
	assert.NilError(t, json.Unmarshal([]byte(text), &rules))
	steps := NewSet(rules).Explain(Situation{Work: WorkRequest, Account: "b", Zone: "y", Load: 0.25})
	details := make([]string, len(steps))
	for i, step := range steps {
		details[i] = step.MismatchedField + ": " + step.Detail
	}
	assert.DeepEqual(t, details, []string{
		"work: request is not job", `accounts: "b" is not among a`, `availability_zones: "y" is not among z`,
		"min_accelerators: 0 accelerators are fewer than 1", "slack_below_s: unlimited slack (no deadline) is not below 5 s",
		"keyed: false is not true", "load_at_least: load 0.25 is below 0.5", ": ",
	})
	assert.Assert(t, steps[7].Matched)
}

func FuzzSituation(f *testing.F) {
	f.Add(`{"work":"request"}`)
	f.Add(`{"work":"job","accelerators":-1,"load":1e400}`)
	f.Add(`{"work":"job","work":"job","unknown":1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		situation, err := ParseSituation("f", []byte(text))
		if err == nil && situation.Work == "" {
			t.Fatal("accepted without work")
		}
	})
}

// longList has the maximum length of a configuration and is adversarial: every rule
// cuts the rules below it at different values.
func longList() []Rule {
	rules := make([]Rule, 1000)
	for i := range rules {
		low, high, flag := i%37, i%37+i%11, i%2 == 0
		slack := float64(i % 53)
		when := When{MinAccelerators: &low, MaxAccelerators: &high, SlackBelowS: &slack, Keyed: &flag}
		for k := range 10 {
			when.Kinds = append(when.Kinds, fmt.Sprintf("k%d", (i*7+k*13)%3000))
		}
		rules[i] = Rule{Name: fmt.Sprintf("r%d", i), When: when}
	}
	return append(rules[:999], Rule{Name: "all"})
}

func BenchmarkCheckLongList(b *testing.B) {
	list := longList()
	text, err := json.Marshal(list)
	assert.NilError(b, err)
	positions := strictjson.Index("f", text)
	for b.Loop() {
		Check(list, nil, "", positions)
	}
}

func BenchmarkDecideByTheLastOfManyRules(b *testing.B) {
	set := NewSet(longList())
	situation := Situation{Work: WorkRequest, Account: "a", Kind: "none of them", Keyed: true}
	for b.Loop() {
		set.Decide(situation)
	}
}

// TestEveryConditionFieldIsHandled fails for a new field of When until it is compared,
// listed, explained and divided into atoms.
func TestEveryConditionFieldIsHandled(t *testing.T) {
	fields := map[string]When{}
	one, number, yes := 1, 1.0, true
	kind := reflect.TypeFor[When]()
	for i := range kind.NumField() {
		var when When
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		target := reflect.ValueOf(&when).Elem().Field(i)
		switch target.Interface().(type) {
		case Work:
			target.Set(reflect.ValueOf(WorkJob))
		case []string:
			target.Set(reflect.ValueOf([]string{"x"}))
		case *int:
			target.Set(reflect.ValueOf(&one))
		case *float64:
			target.Set(reflect.ValueOf(&number))
		case *bool:
			target.Set(reflect.ValueOf(&yes))
		default:
			t.Fatalf("%s has a type that this test does not handle", name)
		}
		fields[name] = when
	}
	// Each condition above mismatches at least one of the two situations.
	low := Situation{Work: WorkRequest, HasDeadline: true, Load: 0}
	high := Situation{Work: WorkRequest, Accelerators: 9, Load: 9}
	for name, when := range fields {
		assert.DeepEqual(t, presentFields(when), []string{name})
		mismatched := firstMismatch(when, low)
		if mismatched == "" {
			mismatched = firstMismatch(when, high)
		}
		assert.Equal(t, mismatched, name)
		assert.Assert(t, mismatchDetail(name, when, high) != "", name)
		space := newSpace([]Rule{{When: when}})
		assert.Assert(t, !space.boxOf(When{}).subsetOf(space.boxOf(when)), "%s restricts nothing", name)
	}
}
