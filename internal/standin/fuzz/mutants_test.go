package fuzz_test

import "fmt"

type result struct {
	invariant int
	fault     string
	caught    string
	seed      int
	steps     int
}

func printMutants() { fmt.Println("mutants: planted=0 caught=0") }
