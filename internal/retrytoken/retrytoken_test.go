package retrytoken

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"ravenhitch/internal/config"
)

const now = int64(1_700_000_000_000_000)

// parseKeys parses the lines of a [keys] section, which must be valid.
func parseKeys(t testing.TB, text string) *Keys {
	t.Helper()
	keys, err := ParseKeys("k", []byte("[keys]\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

const (
	oldKey     = "key old 000102030405060708090a0b0c0d0e0f\n"
	newKey     = "key recent f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\n"
	unknownKey = "key theirs 00112233445566778899aabbccddeeff\n"
)

// sampleToken returns a token that is issued at now for a slot three seconds later.
func sampleToken() Token {
	return Token{Task: "7f3a9c21e0b4d655", Class: "live-relay", IssuedUs: now, SlotUs: now + 3_000_000,
		QueuedSinceUs: now - 5_000_000, Rejections: 2, Nonce: 42}
}

// A token is valid only for its task, from EarlyUs before its slot until LateUs after it. The error states why
// a token is invalid.
func TestTokenValidity(t *testing.T) {
	keys := parseKeys(t, oldKey)
	valid := keys.Issue(sampleToken())
	if len(valid) == 0 || len(valid) > MaxTokenSize {
		t.Fatalf("token has %d bytes, want between 1 and %d", len(valid), MaxTokenSize)
	}
	unknown := parseKeys(t, unknownKey).Issue(sampleToken())
	for _, test := range []struct {
		name  string
		token []byte
		at    int64 // microseconds after the issue of the token
		task  string
		want  error
	}{
		{"valid", valid, 3_000_000, "", nil},
		{"early within the tolerance", valid, 3_000_000 - EarlyUs, "", nil},
		{"early", valid, 3_000_000 - EarlyUs - 1, "", ErrEarly},
		{"right after issue", valid, 0, "", ErrEarly},
		{"late within the tolerance", valid, 3_000_000 + LateUs, "", nil},
		{"expired", valid, 3_000_000 + LateUs + 1, "", ErrExpired},
		{"clock set back by a day", valid, -86_400_000_000, "", ErrEarly},
		{"another task", valid, 3_000_000, "another", ErrMismatch},
		{"unknown key", unknown, 3_000_000, "", ErrUnknownKey},
		{"truncated", valid[:len(valid)-1], 3_000_000, "", ErrSignature},
		{"with an extra byte", append(bytes.Clone(valid), 0), 3_000_000, "", ErrSignature},
		{"empty", nil, 3_000_000, "", ErrMalformed},
		{"of 1 MiB", make([]byte, 1<<20), 3_000_000, "", ErrMalformed},
		{"another version", append([]byte{2}, valid[1:]...), 3_000_000, "", ErrMalformed},
	} {
		got, err := keys.Verify(test.token)
		if err == nil {
			task := test.task
			if task == "" {
				task = "7f3a9c21e0b4d655"
			}
			err = got.Check(now+test.at, task, "live-relay")
		}
		if !errors.Is(err, test.want) || test.want == nil && err != nil {
			t.Errorf("token %q: got error %v, want %v", test.name, err, test.want)
		}
	}
}

// A token with any one bit flipped does not verify, and an unchanged token decodes to its original contents.
func TestSignatureCoversEveryBit(t *testing.T) {
	keys := parseKeys(t, oldKey)
	valid := keys.Issue(sampleToken())
	for i := range len(valid) * 8 {
		b := bytes.Clone(valid)
		b[i/8] ^= 1 << (i % 8)
		if _, err := keys.Verify(b); err == nil {
			t.Errorf("Verify accepted a token with bit %d flipped, want an error", i)
		}
	}
	if got, err := keys.Verify(valid); err != nil || got != sampleToken() {
		t.Errorf("Verify returned %+v, %v, want %+v", got, err, sampleToken())
	}
}

// Without a key, no token is issued and none verifies.
func TestWithoutKeys(t *testing.T) {
	valid := parseKeys(t, oldKey).Issue(sampleToken())
	for _, keys := range []*Keys{nil, {}} {
		if keys.Issue(sampleToken()) != nil {
			t.Error("without a key, Issue returned a token, want nil")
		}
		if _, err := keys.Verify(valid); !errors.Is(err, ErrUnknownKey) {
			t.Errorf("without a key, Verify returned %v, want %v", err, ErrUnknownKey)
		}
	}
}

// During a key rotation, old tokens verify as long as the old key is configured.
func TestKeyRotation(t *testing.T) {
	before, both, after := parseKeys(t, oldKey), parseKeys(t, newKey+oldKey), parseKeys(t, newKey)
	oldToken, newToken := before.Issue(sampleToken()), both.Issue(sampleToken())
	for _, test := range []struct {
		name  string
		keys  *Keys
		token []byte
		want  error
	}{
		{"old token, both keys", both, oldToken, nil},
		{"new token, both keys", both, newToken, nil},
		{"new token, new key", after, newToken, nil},
		{"old token, new key", after, oldToken, ErrUnknownKey},
		{"new token, old key", before, newToken, ErrUnknownKey},
	} {
		if _, err := test.keys.Verify(test.token); !errors.Is(err, test.want) {
			t.Errorf("%s: Verify returned %v, want %v", test.name, err, test.want)
		}
	}
}

// The error for an invalid key file names what was expected, and the position unless the file has no key. It
// contains no secret.
func TestInvalidKeys(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "expected a section [keys]"},
		{"[keys]", "at least one key"},
		{"[kees]", "k:1:2: expected section [keys]"},
		{"[keys]\nkee a b", "k:2:1: expected the directive key"},
		{"[keys]\nkey a", "k:2:1: expected key followed by"},
		{"[keys]\nkey a 00", "k:2:7: expected a secret of 32 to 128 hex digits"},
		{"[keys]\nkey a zz0102030405060708090a0b0c0d0e0f", "k:2:7: expected a secret"},
		{"[keys]\n" + oldKey + oldKey, "k:3:5: expected a name that no other key has"},
	} {
		_, err := ParseKeys("k", []byte(test.text))
		if !errors.Is(err, config.ErrLineFile) || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "0708090a") {
			t.Errorf("key file %q: got error %v, want ErrLineFile with %q and without the secret", test.text, err, test.want)
		}
	}
}

// A token cannot be redeemed again while fewer than maxRedeemed other tokens were redeemed after it, and at most
// maxRedeemed tokens are remembered.
func TestRedeemedOnce(t *testing.T) {
	var redeemed Redeemed
	first := sampleToken()
	if err := redeemed.Redeem(&first); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(maxRedeemed - 1) {
		other := Token{Nonce: 1000 + i}
		if err := redeemed.Redeem(&other); err != nil {
			t.Fatal(err)
		}
	}
	if err := redeemed.Redeem(&first); !errors.Is(err, ErrUsed) {
		t.Errorf("second Redeem of the same token returned %v, want %v", err, ErrUsed)
	}
	for i := range uint64(3 * maxRedeemed) {
		other := Token{Nonce: 1_000_000 + i}
		if err := redeemed.Redeem(&other); err != nil {
			t.Fatal(err)
		}
	}
	if len(redeemed.nonces) != maxRedeemed || len(redeemed.order) != maxRedeemed {
		t.Errorf("%d nonces in the set and %d in order, want %d", len(redeemed.nonces), len(redeemed.order), maxRedeemed)
	}
}

// For arbitrary bytes, Verify accepts only tokens that Issue returns.
func FuzzVerify(f *testing.F) {
	keys := parseKeys(f, oldKey)
	valid := keys.Issue(sampleToken())
	f.Add(valid)
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := keys.Verify(b)
		if err != nil {
			return
		}
		if again := keys.Issue(got); !bytes.Equal(again, b) {
			t.Errorf("Verify accepted %x as %+v, which Issue encodes as %x", b, got, again)
		}
	})
}

// BenchmarkVerify measures the cost of verifying one token.
func BenchmarkVerify(b *testing.B) {
	keys := parseKeys(b, oldKey)
	valid := keys.Issue(sampleToken())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := keys.Verify(valid); err != nil {
			b.Fatal(err)
		}
	}
}
