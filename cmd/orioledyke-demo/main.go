// Command orioledyke-demo starts the whole system on one machine, injects faults under
// load and reports the results that clients observed.
package main

import "github.com/orioledyke/orioledyke/internal/standin/demo"

func main() {
	demo.Main()
}
