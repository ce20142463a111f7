package leader

import (
	"testing"
	"time"
)

// TestSettingsCurrent guards against starts by settings that were confirmed too long ago:
// the process was paused, or no store has answered it since.
func TestSettingsCurrent(t *testing.T) {
	const limit = 2 * time.Second
	now := time.Now()
	cases := []struct {
		name        string
		limit       time.Duration
		confirmedAt time.Time
		want        bool
	}{
		{"confirmed just now", limit, now, true},
		{"confirmed within the limit", limit, now.Add(-limit), true},
		{"confirmed before that", limit, now.Add(-limit - time.Millisecond), false},
		{"by the wall clock before that", limit, now.Round(0).Add(-limit - time.Millisecond), false},
		{"never confirmed", limit, time.Time{}, false},
		{"no limit", 0, time.Time{}, true},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			x := newTestTerm()
			x.leader.settings.MaxSettingsAge = v.limit
			x.leader.SetOperatorSettings(OperatorSettings{ConfirmedAt: v.confirmedAt})
			if got := x.settingsCurrent(now); got != v.want {
				t.Errorf("current: %t, not %t", got, v.want)
			}
		})
	}
}
