package rules

import (
	_ "embed"

	"github.com/corianderbank/corianderbank/internal/strictjson"
)

//go:embed situation.schema.json
var situationSchemaJSON []byte

var situationSchema = strictjson.MustCompile("situation.json", situationSchemaJSON)

// ParseSituation decodes a situation from strict JSON. All problems are returned
// together in a *strictjson.Error. Absent fields are zero, except that the platform is
// reachable by default.
func ParseSituation(file string, data []byte) (Situation, error) {
	situation := Situation{PlatformReachable: true}
	if err := situationSchema.Decode(file, data, &situation); err != nil {
		return Situation{}, err
	}
	return situation, nil
}
