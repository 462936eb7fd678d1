package node

import (
	"math"
	"sort"

	"github.com/radishgate/radishgate/platform"
)

// applyConfiguration applies the newest configuration among the records if it is newer than the one
// in force. Older ones are parsed only if it is refused: after an outage there may be dozens with
// thousands of routes each.
func (n *Node) applyConfiguration(records []platform.KeyedRecord) {
	for _, k := range newestConfigurations(records) {
		c, err := platform.Configuration{}, k.Err
		if err == nil {
			c, err = platform.ParseConfiguration(k.Value)
		}
		if err != nil {
			n.log.Error("configuration refused", "offset", k.Offset, "error", err)
			continue
		}
		before := n.routes.Version()
		if n.routes.Apply(c) {
			n.log.Info("configuration in force", "version", c.Version, "before", before, "queues", len(c.Queues), "offset", k.Offset)
		}
		return
	}
}

// versionedRecord is a record with the version of the configuration that it holds.
type versionedRecord struct {
	platform.KeyedRecord
	version int64
}

// newestConfigurations returns the configurations among the records: first those that cannot be
// read, then the others by descending version.
func newestConfigurations(records []platform.KeyedRecord) []versionedRecord {
	var found []versionedRecord
	for _, k := range records {
		if k.Key == platform.KeyConfiguration && (len(k.Value) > 0 || k.Err != nil) {
			found = append(found, versionedRecord{k, math.MaxInt64})
		}
	}
	if len(found) < 2 {
		return found
	}
	for i := range found {
		k := &found[i]
		if k.Err != nil {
			continue
		}
		if version, err := platform.ConfigurationVersion(k.Value); err != nil {
			k.Err = err
		} else {
			k.version = version
		}
	}
	sort.SliceStable(found, func(a, b int) bool { return found[a].version > found[b].version })
	return found
}
