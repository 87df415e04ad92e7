// Command corianderbank runs an instance, for one availability zone or for a whole
// deployment, and provides the operators' command line.
package main

import (
	"os"

	"github.com/corianderbank/corianderbank/internal/cli"
	"github.com/corianderbank/corianderbank/internal/serve"
	"github.com/corianderbank/corianderbank/platform"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, cli.Functions{ServeZone: serve.Run, ServeDeployment: platform.Run, DecodeStored: platform.Decoder{}.Configuration}))
}
