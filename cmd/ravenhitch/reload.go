package main

// This file reloads the configuration and the retry token keys while the server runs. If a file cannot be read or
// is invalid, none of its content is applied. A reload never affects open requests or running tasks.

import (
	"ravenhitch/internal/config"
)

// Reload reads the files of the retry token keys and of the configuration again. Of the configuration, only
// the address of discovery takes effect; all other settings need a restart. A file that cannot be used
// changes nothing, and the error is logged. Reload may be called from any goroutine.
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
