package proof

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var (
	pairCount = flag.Int("pairs", 120, "how many pairs of faults to run")
	pairSeed  = flag.Int("pair-seed", 1, "seed of the first pair; each next one has the next seed")
)

// faultPairs generates cells with two faults, each at a step of the same
// protocol.
var faultPairs = rapid.Custom(func(t *rapid.T) cell {
	s := rapid.SampledFrom(scenarios).Draw(t, "scenario")
	c := cell{
		scenario: s,
	}
	for _, n := range []string{"first", "second"} {
		p := rapid.SampledFrom(s.steps).Draw(t, n+" step")
		f := rapid.SampledFrom(faults[1:]).Filter(func(f fault) bool { return f.appliesTo(p) }).Draw(t, n+" fault")
		c.faults = append(c.faults, faultAtStep{
			step:  p,
			fault: f,
		})
	}
	return c
})

// TestPairs runs random protocols with two faults each. Each pair is determined
// by its seed. Example of a longer run:
// go test ./proof -run TestPairs -pairs 3000 -pair-seed 1000
func TestPairs(t *testing.T) {
	for i := range *pairCount {
		n := *pairSeed + i
		c := faultPairs.Example(n)
		t.Run(fmt.Sprintf("seed %d/%s", n, c.name()), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
