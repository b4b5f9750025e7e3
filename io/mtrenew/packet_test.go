package mtrenew_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtrenew"
)

func TestOpenRefusesForgedDatagrams(t *testing.T) {
	ours := mtrenew.NewSealer([]byte("secret"))
	packet, err := ours.Seal("w", &mtwire.Renew{From: "d", Sequence: 1, Ask: 4})
	assert.NilError(t, err)
	flipped := append([]byte(nil), packet...)
	flipped[3] ^= 1
	other, err := mtrenew.NewSealer([]byte("other")).Seal("w", &mtwire.Renew{From: "d"})
	assert.NilError(t, err)
	tests := []struct {
		name   string
		self   string
		packet []byte
		forged bool
	}{
		{"intact", "w", packet, false},
		{"to another daemon", "v", packet, true},
		{"corrupted in transit", "w", flipped, true},
		{"another secret", "w", other, true},
		{"truncated", "w", packet[:mtrenew.TagSize-1], true},
		{"empty", "w", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := mtrenew.NewSealer([]byte("secret")).Open("w", tt.packet)
			if tt.self != "w" {
				_, err = mtrenew.NewSealer([]byte("secret")).Open("v", tt.packet)
			}
			var forged *mtrenew.ForgedError
			assert.Equal(t, errors.As(err, &forged), tt.forged, "got %v", err)
		})
	}
}

// An attacker replays recorded datagrams of a lost daemon. If they were accepted,
// they would extend the promise to it and prevent its keys from being served.
func TestReplayWindowAcceptsEachSequenceOnce(t *testing.T) {
	type step struct {
		incarnation mtid.Incarnation
		sequence    uint64
		want        bool
	}
	var w mtrenew.Window
	for _, s := range []step{
		{1, 1, true},
		{1, 1, false},
		{1, 3, true},
		{1, 2, true},
		{1, 2, false},
		{1, 100, true},
		{1, 3, false},
		{1, 37, true},
		{1, 36, false},
		{2, 1, true},
		{1, 101, false},
		{2, 1, false},
	} {
		got := w.Accept(s.incarnation, s.sequence)
		assert.Equal(t, got, s.want, "%+v", s)
	}
}

func FuzzOpen(f *testing.F) {
	packet, _ := mtrenew.NewSealer(nil).Seal("w", &mtwire.Renew{From: "d", Sequence: 1})
	f.Add(packet)
	f.Fuzz(func(_ *testing.T, packet []byte) {
		_, _ = mtrenew.NewSealer(nil).Open("w", packet)
	})
}
