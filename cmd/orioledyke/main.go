// Command orioledyke is a layer-4 load balancer.
package main

import "github.com/orioledyke/orioledyke/internal/cli/commands"

func main() {
	commands.Main()
}
