package retrytoken

// This file owns the keys of one process, and the form of the file that they come from. It must never let
// a secret reach an error.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"ravenhitch/internal/config"
)

// The bounds of a secret, in bytes.
const (
	minSecret = 16
	maxSecret = 64
)

// key is a secret and a short form of its name.
type key struct {
	id     uint32
	secret []byte
}

// Keys are the keys of a process. The first signs new tokens, all verify. The zero value and nil have
// none: they issue no token and verify none.
type Keys struct{ keys []key }

// IsSet reports whether there is a key.
func (k *Keys) IsSet() bool { return k != nil && len(k.keys) > 0 }

// find returns the key of an ID, or nil.
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

// ParseKeys reads a file of keys: a section [keys], and in it a line "key NAME HEX" for each, the one that
// signs new tokens first. To rotate, add the new key last at every orchestrator, then put it first at
// every one, then drop the old one. The error wraps config.ErrLineFile and says where in the file it is.
func ParseKeys(file string, text []byte) (*Keys, error) {
	sections, err := config.ParseLines(file, text)
	if err != nil {
		return nil, err
	}
	keys := &Keys{}
	for _, section := range sections {
		if section.Name.Text != "keys" {
			return nil, section.Name.Expected("the section keys")
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

// add appends the key of a directive.
func (k *Keys) add(directive config.Directive) error {
	if directive.Name.Text != "key" {
		return directive.Name.Expected("key")
	}
	if len(directive.Args) != 2 {
		return directive.Name.Expected("key followed by a name and a secret in hex")
	}
	name, secret := directive.Args[0], directive.Args[1]
	b, err := hex.DecodeString(secret.Text)
	if err != nil || len(b) < minSecret || len(b) > maxSecret {
		secret.Text = "" // the error would print it
		return secret.Expected(fmt.Sprintf("a secret of %d to %d hex digits", 2*minSecret, 2*maxSecret))
	}
	id := keyID(name.Text)
	if k.find(id) != nil {
		return name.Expected("a name that no other key has")
	}
	k.keys = append(k.keys, key{id, b})
	return nil
}

// keyID is the short form of a key's name that tokens carry.
func keyID(name string) uint32 {
	sum := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint32(sum[:])
}
