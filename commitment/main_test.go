package commitment

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
