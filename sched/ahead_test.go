package sched

import "testing"

// TestFragmentationAhead compares the whole workers that are free with the free
// accelerators.
func TestFragmentationAhead(t *testing.T) {
	for _, s := range sites {
		b := play(s, func(s site) policy { return newBaseline(s) }, *replaySeeds)
		o := play(s, func(s site) policy { return newOurs(s) }, *replaySeeds)
		if o.frag/o.fragT < b.frag/b.fragT {
			t.Errorf("%s: fragmentation ratio %.2f, baseline %.2f", s.name, o.frag/o.fragT, b.frag/b.fragT)
		}
	}
}

// TestReplayFourSeeds is TestReplay with the seeds that it had first.
func TestReplayFourSeeds(t *testing.T) { replayWith(t, 4) }

// TestReplayTwelveSeeds is TestReplay with the seeds that it had next.
func TestReplayTwelveSeeds(t *testing.T) { replayWith(t, 12) }

func replayWith(t *testing.T, seeds int) {
	t.Helper()
	for _, s := range sites {
		b := play(s, func(s site) policy { return newBaseline(s) }, seeds)
		o := play(s, func(s site) policy { return newOurs(s) }, seeds)
		checkAhead(t, b, o)
	}
}
