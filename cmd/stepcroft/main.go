// Command stepcroft routes requests of many organisations to shared pools of model engines and to
// plain services. Run it with --help for its commands.
package main

import (
	"os"

	"github.com/stepcroft/stepcroft/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
