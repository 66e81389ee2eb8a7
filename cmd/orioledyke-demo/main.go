// Command orioledyke-demo starts the whole system on one machine, disturbs it
// under load and reports what the clients saw.
package main

import "github.com/orioledyke/orioledyke/internal/standin/demo"

func main() {
	demo.Main()
}
