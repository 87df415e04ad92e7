package process

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// versionOf returns the version in force at an entry instance, or 0 if it
// cannot be read.
func versionOf(n *node) int64 {
	var version api.ConfigVersion
	if get(n.addr, "/v1/config", &version) != nil {
		return 0
	}
	return version.Version
}

// applyConcurrently applies a different document at every instance over the
// same version, and returns how many were accepted.
func applyConcurrently(c *cluster, expect int64) int {
	var mu sync.Mutex
	accepted := 0
	var operators sync.WaitGroup
	for i := range c.entries {
		operators.Go(func() {
			document := strings.Replace(oneAccount, "acme", fmt.Sprintf("acme\"}, {\"name\": \"operator-%d", i), 1)
			if c.apply(i, expect, document) == nil {
				mu.Lock()
				defer mu.Unlock()
				accepted++
			}
		})
	}
	operators.Wait()
	return accepted
}

// waitInForce waits until every instance has at least the version.
func waitInForce(c *cluster, version int64) {
	for _, entry := range c.entries {
		c.waitFor(fmt.Sprintf("%s has version %d", entry.id, version), func() bool { return versionOf(entry) >= version })
	}
}

func TestAcceptedConfigurationHolds(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 3, backends: 1, configuration: oneAccount})
	for version := int64(1); version <= 3; version++ {
		assert.Equal(t, applyConcurrently(c, version), 1, "concurrent operators at version %d", version)
		waitInForce(c, version+1)
	}
	digests := make(map[string]bool)
	for _, entry := range c.entries {
		var inForce api.ConfigVersion
		assert.NilError(t, get(entry.addr, "/v1/config", &inForce))
		assert.Equal(t, inForce.Version, int64(4))
		digests[inForce.Digest] = true
	}
	assert.Equal(t, len(digests), 1, "instances have different documents in force")

	c.injectFaults(c.platform, standin.PlatformFaults{Down: true})
	assert.Assert(t, c.apply(0, 4, oneAccount) != nil, "a configuration was accepted without the store")
	c.entries[1].kill()
	c.startEntry(1)
	c.waitFor("an instance that starts without the platform gets the version from its peers", func() bool { return versionOf(c.entries[1]) == 4 })
	c.waitOK(c.entries[1].addr, "/readyz")
	c.injectFaults(c.platform, standin.PlatformFaults{})

	c.entries[2].relay.setPartitioned(true)
	c.waitFor("a new version is accepted", func() bool { return c.apply(0, 4, oneAccount) == nil || versionOf(c.entries[0]) > 4 })
	waitInForce(c, 5)
}

func TestLostAnswerToAnAcceptedConfiguration(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, configuration: oneAccount})
	c.injectFaults(c.platform, standin.PlatformFaults{LoseAnswers: 2})
	err := c.apply(0, 1, oneAccount)
	c.injectFaults(c.platform, standin.PlatformFaults{})
	if err == nil {
		waitInForce(c, 2)
		return
	}
	// Whether the result was unknown or a refusal, exactly one version stays in force.
	c.waitFor("the operator's next attempt is accepted", func() bool {
		return c.apply(0, max(versionOf(c.entries[0]), 1), oneAccount) == nil
	})
	waitInForce(c, versionOf(c.entries[0]))
}
