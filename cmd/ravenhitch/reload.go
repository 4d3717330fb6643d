package main

// This file takes up changed files while the server runs. It must never apply a file that can't be
// read as a whole, and never touch open requests or running tasks.

import (
	"ravenhitch/internal/config"
)

// Reload takes up the retry token keys and the configuration file as they are now. Of the
// configuration only the address of discovery can change, the rest waits for a restart. A file that
// can't be used changes nothing and is logged. Reload may be called from any goroutine.
func (s *server) Reload(configPath string) {
	s.reloadTokenKeys()
	s.loop.Post(func() {
		cfg, err := config.Load(configPath)
		if err != nil {
			s.log.Error("configuration not reloaded", "err", err)
			return
		}
		s.log.Info("configuration reloaded", "channel", cfg.DiscoveryAddr)
		s.follower.SetAddress(cfg.DiscoveryAddr)
	})
}

func (s *server) reloadTokenKeys() {
	if s.grpcFront == nil || s.tokenKeysPath == "" {
		return
	}
	keys, err := loadTokenKeys(s.tokenKeysPath)
	if err != nil {
		s.log.Error("retry token keys not reloaded", "err", err)
		return
	}
	s.grpcFront.SetKeys(keys)
	s.log.Info("retry token keys reloaded")
}
