// Command orioledyke-standin runs a stand-in for a system outside orioledyke. It is
// intended only for tests and the demo.
package main

import "github.com/orioledyke/orioledyke/internal/standin/commands"

func main() {
	commands.Main()
}
