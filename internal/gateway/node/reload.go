package node

import (
	"github.com/radishgate/radishgate/internal/gateway/reload"
	"github.com/radishgate/radishgate/internal/gateway/settings"
)

// ReloadKeys returns the settings that may change while the node runs.
func (n *Node) ReloadKeys() []reload.Key {
	return []reload.Key{
		{
			Name: "[entry] seeds", Value: func(s *settings.Settings) any { return s.Seeds },
			Apply: func(s *settings.Settings) { n.contacts.add(s.Seeds...) },
		},
		{
			Name: "[platform] grace", Value: func(s *settings.Settings) any { return s.Grace },
			Apply: func(s *settings.Settings) { n.grace.Store(int64(s.Grace)) },
		},
		{
			Name: "[ingress]", Value: func(s *settings.Settings) any { return s.Ingress },
			Apply: func(s *settings.Settings) { n.ingress.SetLimits(s.Ingress) },
		},
	}
}
