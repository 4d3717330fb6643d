package retrytoken

import (
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
)

// The key files and tokens in this file are those of commit 532e1c5, here called the released version, in which
// tokens were called tickets. The tests guard against a change of the format: orchestrators of different versions
// run at the same time, and clients present tokens that were issued before an update.
const (
	releasedKeys = "[keys]\nkey 2026-12 000102030405060708090a0b0c0d0e0f\nkey 2026-06 f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\n"
	releasedOld  = "[keys]\nkey 2026-06 f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\n" // only the second key of releasedKeys
)

// Tokens of the released version verify, and issuing the same token gives the same bytes.
func TestReleasedTokens(t *testing.T) {
	const issued = 1764684000123456
	for i, test := range []struct {
		keys   string // key file, whose first key signed the token
		issued Token
		slotUs int64 // SlotUs of the verified token: whole milliseconds after IssuedUs, at most a day
		token  string
	}{
		{releasedKeys, Token{Task: "7f3a9c21e0b4d655", Class: "live-relay", IssuedUs: 1700000000000000, SlotUs: 1700000003000000,
			QueuedSinceUs: 1699999995000000, Rejections: 2, Nonce: 42}, 1700000003000000,
			"01d2c83ca000060a24181e400000060a2417d1f4c0000000000000002a00000bb8000210376633613963323165306234643635350a6c6976652d72656c6179" +
				"b309684327cc93b310f10a9f218b0106"},
		{releasedKeys, Token{Task: "t", IssuedUs: issued, SlotUs: issued + 1234567, QueuedSinceUs: issued, Rejections: 65535,
			Nonce: 0xfedcba9876543210}, issued + 1234000,
			"01d2c83ca0000644f882f7da40000644f882f7da40fedcba9876543210000004d2ffff0174001b0bcb49d5d3332e31d87aa66045b712"},
		{releasedKeys, Token{Task: "t", Class: "c", IssuedUs: issued, SlotUs: issued - 5}, issued,
			"01d2c83ca0000644f882f7da4000000000000000000000000000000000000000000000017401631b83db81c3c89ac9db3253a855521383"},
		{releasedKeys, Token{Task: "t", Class: "c", IssuedUs: issued, SlotUs: issued + 90000000000, Nonce: 1}, issued + 86400000000,
			"01d2c83ca0000644f882f7da400000000000000000000000000000000105265c000000017401632288a449eea12d8d13944cfaeb29a5e2"},
		{releasedOld, Token{Task: "7f3a9c21e0b4d655", Class: "live-relay", IssuedUs: 1700000000000000, SlotUs: 1700000003000000,
			QueuedSinceUs: 1699999995000000, Rejections: 2, Nonce: 42}, 1700000003000000,
			"01383eb85900060a24181e400000060a2417d1f4c0000000000000002a00000bb8000210376633613963323165306234643635350a6c6976652d72656c6179" +
				"2475bc301fa5bad2cb01e14000af01e9"},
		{releasedOld, Token{Task: "t", IssuedUs: issued, SlotUs: issued + 1234567, QueuedSinceUs: issued, Rejections: 65535,
			Nonce: 0xfedcba9876543210}, issued + 1234000,
			"01383eb859000644f882f7da40000644f882f7da40fedcba9876543210000004d2ffff017400b65832465ea960c322223876a8377fd7"},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			signer, err := ParseKeys("keys", []byte(test.keys))
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(signer.Issue(test.issued)); got != test.token {
				t.Errorf("issued token is\n%s, want\n%s", got, test.token)
			}
			both, err := ParseKeys("keys", []byte(releasedKeys))
			if err != nil {
				t.Fatal(err)
			}
			b, err := hex.DecodeString(test.token)
			if err != nil {
				t.Fatal(err)
			}
			want := test.issued
			want.SlotUs = test.slotUs
			if got, err := both.Verify(b); err != nil || got != want {
				t.Errorf("Verify returned %+v, %v, want %+v", got, err, want)
			}
		})
	}
}

// Verifying a token that was signed with a key of releasedKeys fails with ErrUnknownKey if that key is not configured.
func TestReleasedTokenOfDroppedKey(t *testing.T) {
	both, old := []byte(releasedKeys), []byte(releasedOld)
	signer, err := ParseKeys("keys", both)
	if err != nil {
		t.Fatal(err)
	}
	verifier, err := ParseKeys("keys", old)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := verifier.Verify(signer.Issue(sampleToken())); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("Verify returned %v, want %v", err, ErrUnknownKey)
	}
}
