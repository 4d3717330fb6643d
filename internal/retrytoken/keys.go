package retrytoken

// This file implements the signing keys of a process and the parser of the key file. An error must never
// contain a secret.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"ravenhitch/internal/config"
)

// Bounds of the size of a secret, in bytes.
const (
	minSecretSize = 16
	maxSecretSize = 64
)

// key is a secret that signs and verifies tokens. A token names its key by the ID.
type key struct {
	id     uint32 // result of keyID for the name of the key
	secret []byte
}

// Keys holds the signing keys of a process. The first key signs new tokens, and all keys verify tokens. The
// zero value and nil hold no key, so they issue and verify no tokens.
type Keys struct{ keys []key }

// IsSet reports whether there is at least one key.
func (k *Keys) IsSet() bool { return k != nil && len(k.keys) > 0 }

// find returns the key with the given ID, or nil if there is none.
func (k *Keys) find(id uint32) *key {
	if k == nil {
		return nil
	}
	for i := range k.keys {
		if k.keys[i].id == id {
			return &k.keys[i]
		}
	}
	return nil
}

// ParseKeys parses the text of a key file: a section [keys] with one line "key NAME HEX" per key. The first
// key signs new tokens. To rotate keys, add the new key as the last one at every orchestrator, then make it
// the first one at every orchestrator, then remove the old key. The error wraps config.ErrLineFile. It names
// the position in the file, or only the file if the file has no key.
func ParseKeys(file string, text []byte) (*Keys, error) {
	sections, err := config.ParseLines(file, text)
	if err != nil {
		return nil, err
	}
	keys := &Keys{}
	for _, section := range sections {
		if section.Name.Text != "keys" {
			return nil, section.Name.Expected("section [keys]")
		}
		for _, directive := range section.Directives {
			if err := keys.add(directive); err != nil {
				return nil, err
			}
		}
	}
	if len(keys.keys) == 0 {
		return nil, fmt.Errorf("%w: %s: expected a section [keys] with at least one key", config.ErrLineFile, file)
	}
	return keys, nil
}

// add parses a directive and appends the key that the directive defines.
func (k *Keys) add(directive config.Directive) error {
	if directive.Name.Text != "key" {
		return directive.Name.Expected("the directive key")
	}
	if len(directive.Args) != 2 {
		return directive.Name.Expected("key followed by a name and a secret in hex")
	}
	name, secret := directive.Args[0], directive.Args[1]
	b, err := hex.DecodeString(secret.Text)
	if err != nil || len(b) < minSecretSize || len(b) > maxSecretSize {
		secret.Text = "" // otherwise the error would contain the secret
		return secret.Expected(fmt.Sprintf("a secret of %d to %d hex digits", 2*minSecretSize, 2*maxSecretSize))
	}
	id := keyID(name.Text)
	if k.find(id) != nil {
		return name.Expected("a name that no other key has")
	}
	k.keys = append(k.keys, key{id, b})
	return nil
}

// keyID returns the ID that identifies a key in tokens: the first four bytes of the SHA-256 hash of its name.
func keyID(name string) uint32 {
	sum := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint32(sum[:])
}
