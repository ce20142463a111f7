package sched

import "testing"

// TestFragmentationNotWorse checks that the policy keeps at least as large a share
// of the free accelerators on wholly free workers as the baseline.
func TestFragmentationNotWorse(t *testing.T) {
	for _, s := range sites {
		b := runReplays(s, func(s site) policy { return newFIFOPolicy(s) }, *replaySeeds)
		o := runReplays(s, func(s site) policy { return newStatePolicy(s) }, *replaySeeds)
		if o.wholeRatioSum/o.ratioSeconds < b.wholeRatioSum/b.ratioSeconds {
			t.Errorf("%s: fragmentation ratio %.2f, baseline %.2f", s.name, o.wholeRatioSum/o.ratioSeconds, b.wholeRatioSum/b.ratioSeconds)
		}
	}
}

// TestReplayFourSeeds is TestReplay with seeds 1 to 4.
func TestReplayFourSeeds(t *testing.T) { replayWith(t, 4) }

// TestReplayTwelveSeeds is TestReplay with seeds 1 to 12.
func TestReplayTwelveSeeds(t *testing.T) { replayWith(t, 12) }

func replayWith(t *testing.T, seeds int) {
	t.Helper()
	for _, s := range sites {
		b := runReplays(s, func(s site) policy { return newFIFOPolicy(s) }, seeds)
		o := runReplays(s, func(s site) policy { return newStatePolicy(s) }, seeds)
		checkNotWorse(t, b, o)
	}
}
