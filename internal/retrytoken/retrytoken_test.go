package retrytoken

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"ravenhitch/internal/config"
)

const now = int64(1_700_000_000_000_000)

func keys(t testing.TB, text string) *Keys {
	k, err := ParseKeys("k", []byte("[keys]\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

const (
	old    = "key old 000102030405060708090a0b0c0d0e0f\n"
	recent = "key recent f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\n"
	theirs = "key theirs 00112233445566778899aabbccddeeff\n"
)

func standard() Token {
	return Token{Task: "7f3a9c21e0b4d655", Class: "live-relay", IssuedUs: now, SlotUs: now + 3_000_000, SinceUs: now - 5_000_000,
		Tries: 2, Nonce: 42}
}

// Each fault has its one rule; what is good is good from a little before its time
// until ten seconds after.
func TestRules(t *testing.T) {
	k := keys(t, old)
	good := k.Issue(standard())
	if len(good) == 0 || len(good) > TicketMost {
		t.Fatalf("%d bytes", len(good))
	}
	foreign := keys(t, theirs).Issue(standard())
	for _, x := range []struct {
		name   string
		ticket []byte
		at     int64
		task   string
		want   error
	}{
		{"good", good, 3_000_000, "", nil},
		{"a little early", good, 3_000_000 - EarlyUs, "", nil},
		{"early", good, 3_000_000 - EarlyUs - 1, "", ErrEarly},
		{"at once", good, 0, "", ErrEarly},
		{"late", good, 3_000_000 + LateUs, "", nil},
		{"expired", good, 3_000_000 + LateUs + 1, "", ErrExpired},
		{"the clock set back", good, -86_400_000_000, "", ErrEarly},
		{"foreign task", good, 3_000_000, "another", ErrForeign},
		{"unknown key", foreign, 3_000_000, "", ErrKey},
		{"cut", good[:len(good)-1], 3_000_000, "", ErrProof},
		{"longer", append(bytes.Clone(good), 0), 3_000_000, "", ErrProof},
		{"empty", nil, 3_000_000, "", ErrForm},
		{"huge", make([]byte, 1<<20), 3_000_000, "", ErrForm},
		{"another version", append([]byte{2}, good[1:]...), 3_000_000, "", ErrForm},
	} {
		got, err := k.Verify(x.ticket)
		if err == nil {
			task := x.task
			if task == "" {
				task = "7f3a9c21e0b4d655"
			}
			err = got.Check(now+x.at, task, "live-relay")
		}
		if !errors.Is(err, x.want) || x.want == nil && err != nil {
			t.Errorf("%s: %v, expected %v", x.name, err, x.want)
		}
	}
	// Every bit counts.
	for i := range len(good) * 8 {
		b := bytes.Clone(good)
		b[i/8] ^= 1 << (i % 8)
		if _, err := k.Verify(b); err == nil {
			t.Errorf("with bit %d turned it is taken", i)
		}
	}
	if got, err := k.Verify(good); err != nil || got != standard() {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, k := range []*Keys{nil, {}} {
		if k.Issue(standard()) != nil {
			t.Error("issued without a key")
		}
		if _, err := k.Verify(good); !errors.Is(err, ErrKey) {
			t.Errorf("taken without a key: %v", err)
		}
	}
}

// Keys rotate with an overlap: old tickets are good while the old key is held.
func TestRotation(t *testing.T) {
	before, both, after := keys(t, old), keys(t, recent+old), keys(t, recent)
	a, b := before.Issue(standard()), both.Issue(standard())
	for _, x := range []struct {
		k      *Keys
		ticket []byte
		want   error
	}{{both, a, nil}, {both, b, nil}, {after, b, nil}, {after, a, ErrKey}, {before, b, ErrKey}} {
		if _, err := x.k.Verify(x.ticket); !errors.Is(err, x.want) {
			t.Errorf("%v, expected %v", err, x.want)
		}
	}
}

// A file of keys that can't be used says where and what was expected, and no secret.
func TestBadKeys(t *testing.T) {
	for _, x := range []struct{ text, want string }{
		{"", "expected a section [keys]"},
		{"[keys]", "at least one key"},
		{"[kees]", "k:1:2: expected the section keys"},
		{"[keys]\nkee a b", "k:2:1: expected key"},
		{"[keys]\nkey a", "k:2:1: expected key followed by"},
		{"[keys]\nkey a 00", "k:2:7: expected a secret of 32 to 128 hex digits"},
		{"[keys]\nkey a zz0102030405060708090a0b0c0d0e0f", "k:2:7: expected a secret"},
		{"[keys]\n" + old + old, "k:3:5: expected a name that no other key has"},
	} {
		_, err := ParseKeys("k", []byte(x.text))
		if !errors.Is(err, config.ErrConf) || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "0708090a") {
			t.Errorf("%q: %v", x.text, err)
		}
	}
}

// A ticket is taken once, also when many others come between.
func TestUsedOnce(t *testing.T) {
	var u Redeemed
	first := standard()
	if err := u.Redeem(&first); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(usedMost - 1) {
		other := Token{Nonce: 1000 + i}
		if err := u.Redeem(&other); err != nil {
			t.Fatal(err)
		}
	}
	if err := u.Redeem(&first); !errors.Is(err, ErrUsed) {
		t.Errorf("taken again: %v", err)
	}
	for i := range uint64(3 * usedMost) {
		other := Token{Nonce: 1_000_000 + i}
		u.Redeem(&other)
	}
	if len(u.nonces) != usedMost || len(u.order) != usedMost {
		t.Errorf("%d are remembered", len(u.nonces))
	}
}

// Whatever bytes come, nothing is taken but what was issued.
func FuzzOpen(f *testing.F) {
	k := keys(f, old)
	good := k.Issue(standard())
	f.Add(good)
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := k.Verify(b)
		if err != nil {
			return
		}
		if again := k.Issue(got); !bytes.Equal(again, b) {
			t.Errorf("%x was taken as %+v", b, got)
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	k := keys(b, old)
	good := k.Issue(standard())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Verify(good); err != nil {
			b.Fatal(err)
		}
	}
}
