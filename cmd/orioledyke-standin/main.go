// Command orioledyke-standin runs a stand-in for a system outside orioledyke. It
// is for tests and the demo only.
package main

import "github.com/orioledyke/orioledyke/internal/standin/commands"

func main() {
	commands.Main()
}
