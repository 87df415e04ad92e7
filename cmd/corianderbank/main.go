// Command corianderbank is the one binary: the entry instance and the
// operators' command line.
package main

import (
	"os"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/cli"
	"github.com/corianderbank/corianderbank/internal/settings"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, serve))
}

// serve runs an entry instance with the settings of a file.
func serve(settingsFile string) error {
	if _, err := settings.Load(settingsFile); err != nil {
		return err
	}
	return api.NewError(api.KindNotReady, "the entry instance is not wired yet")
}
