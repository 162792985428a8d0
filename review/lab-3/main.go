// Command lab3 plays the cases of the third review with stand-ins on loopback addresses.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab3 CASE FOLDER, in the repository's root")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	cases[os.Args[1]](w)
	w.cannot("the case has no end")
}
