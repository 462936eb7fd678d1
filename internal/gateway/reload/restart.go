package reload

import "github.com/radishgate/radishgate/internal/gateway/settings"

// RestartKeys returns the settings that take effect with the next start of the process only.
func RestartKeys() []Key {
	return []Key{
		{Name: "[entry] vm", Value: func(s *settings.Settings) any { return s.VM }},
		{Name: "[entry] zone", Value: func(s *settings.Settings) any { return s.Zone }},
		{Name: "[entry] zones", Value: func(s *settings.Settings) any { return s.Zones }},
		{Name: "[entry] listen", Value: func(s *settings.Settings) any { return s.Listen }},
		{Name: "[entry] ready", Value: func(s *settings.Settings) any { return s.Ready }},
		{Name: "[entry] peers", Value: func(s *settings.Settings) any { return s.Peers }},
		{Name: "[entry] reach", Value: func(s *settings.Settings) any { return s.AdvertisedAddress }},
		{Name: "[entry] metrics", Value: func(s *settings.Settings) any { return s.Metrics }},
		{Name: "[entry] cores", Value: func(s *settings.Settings) any { return s.Cores }},
		{Name: "[entry] share", Value: func(s *settings.Settings) any { return s.Share }},
		{Name: "[entry] memory", Value: func(s *settings.Settings) any { return s.Memory }},
		{Name: "[entry] descriptors", Value: func(s *settings.Settings) any { return s.Descriptors }},
		{Name: "[entry] beat", Value: func(s *settings.Settings) any { return s.HeartbeatInterval }},
		{Name: "[platform] store", Value: func(s *settings.Settings) any { return s.Store }},
		{Name: "[platform] lease", Value: func(s *settings.Settings) any { return s.Lease }},
		{Name: "[platform] resend", Value: func(s *settings.Settings) any { return s.ClientRetryAfter }},
		{Name: "[platform] evacuate", Value: func(s *settings.Settings) any { return s.EvacuationBound }},
		{Name: "[cancels] keep", Value: func(s *settings.Settings) any { return s.CancelKeep }},
		{Name: "[cancels] most", Value: func(s *settings.Settings) any { return s.CancelLimit }},
		{Name: "[placement] lookahead", Value: func(s *settings.Settings) any { return s.Lookahead }},
		{Name: "[placement] priorities", Value: func(s *settings.Settings) any { return s.Priorities }},
		{Name: "[workers] groups", Value: func(s *settings.Settings) any { return s.Groups }},
	}
}
