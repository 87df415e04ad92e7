package rules

import (
	_ "embed"

	"github.com/corianderbank/corianderbank/internal/strictjson"
)

//go:embed situation.schema.json
var situationSchemaJSON []byte

var situationSchema = strictjson.MustCompile("situation.json", situationSchemaJSON)

// ParseSituation reads a situation from strict JSON. All problems come back at
// once in a *strictjson.Error. Absent fields are zero, but the platform is
// reachable unless the file says otherwise.
func ParseSituation(file string, data []byte) (Situation, error) {
	situation := Situation{PlatformReachable: true}
	if err := situationSchema.Decode(file, data, &situation); err != nil {
		return Situation{}, err
	}
	return situation, nil
}
