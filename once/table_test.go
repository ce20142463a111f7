package once

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func wantDecision(t *testing.T, got, want Decision) {
	t.Helper()
	if got != want {
		t.Errorf("decision %d, want %d", got, want)
	}
}

func TestFirstRequestRunsRepetitionsWait(t *testing.T) {
	var b Table
	d, c := b.Begin("k", 1, start)
	wantDecision(t, d, Run)
	d, w := b.Begin("k", 1, start)
	wantDecision(t, d, Wait)
	b.Finish(c, Answer{Status: 200, Body: []byte("x"), Complete: true})
	<-w.Done()
	if string(w.Answer().Body) != "x" || w.NotRun() {
		t.Errorf("answer %+v", w.Answer())
	}
	d, _ = b.Begin("k", 9, start)
	wantDecision(t, d, Wait)
}

func TestRefusalHoldsForClaimRevision(t *testing.T) {
	var b Table
	if !b.Refuse("k", 5, start) {
		t.Error("could not refuse a new key")
	}
	d, _ := b.Begin("k", 5, start)
	wantDecision(t, d, Refused)
	d, _ = b.Begin("k", 4, start)
	wantDecision(t, d, Refused)
	d, c := b.Begin("k", 6, start)
	wantDecision(t, d, Run)
	if b.Refuse("k", 6, start) {
		t.Error("refused a key that runs")
	}
	b.MarkNotRun(c)
	d, _ = b.Begin("k", 6, start)
	wantDecision(t, d, Refused)
}

func TestFullTableRejectsNewKeys(t *testing.T) {
	var b Table
	b.SetLimit(1)
	_, c := b.Begin("k1", 1, start)
	b.Finish(c, Answer{})
	d, _ := b.Begin("k2", 1, start)
	wantDecision(t, d, TableFull)
	d, _ = b.Begin("k2", 1, start.Add(KeyRetention))
	wantDecision(t, d, Run)
}

func TestOldBodiesAreDroppedKeysAreKept(t *testing.T) {
	var b Table
	for _, k := range []string{"a", "b", "c"} {
		_, c := b.Begin(k, 1, start)
		b.Finish(c, Answer{Body: make([]byte, maxBodyBytes/2), Complete: true})
	}
	d, c := b.Begin("a", 1, start)
	wantDecision(t, d, Wait)
	if c.Answer().Complete {
		t.Error("body of the oldest answer was kept")
	}
	if _, c := b.Begin("c", 1, start); !c.Answer().Complete {
		t.Error("body of the latest answer was dropped")
	}
}
