package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/entry"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/rollout"
)

type bundleCommand struct {
	Check   *bundleCheck   `arg:"subcommand:check" help:"check a bundle file"`
	Sign    *bundleSign    `arg:"subcommand:sign" help:"sign a bundle file against the version in force"`
	Publish *bundlePublish `arg:"subcommand:publish" help:"publish a signed bundle and wait for every availability zone"`
	Status  *bundleStatus  `arg:"subcommand:status" help:"show which version is in force where"`
	Show    *bundleShow    `arg:"subcommand:show" help:"print the bundle in force by the log"`
}

func (c *bundleCommand) run(context.Context, io.Writer, io.Writer) error {
	return &UsageError{Reason: "bundle: missing subcommand: check, sign, publish, status or show"}
}

type bundleCheck struct {
	File string `arg:"positional,required"`
}

func (c *bundleCheck) run(_ context.Context, stdout, _ io.Writer) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	for name, s := range b.Services {
		if !b.HasUpstreamFor(s) {
			fmt.Fprintf(stdout, "%s: warning: no upstream has the labels that service %s needs\n", c.File, name)
		}
	}
	_, err = fmt.Fprintf(stdout, "%s: %d services, %d upstreams in %d availability zones, %d tenants\n",
		c.File, len(b.Services), len(b.Upstreams), len(b.Zones()), len(b.Tenants))
	return err
}

func readBundle(name string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return bundle.Parse(name, 0, string(data))
}

// logFlags are the flags of commands that read the bundle log: the platform that serves
// it, and the public keys whose signatures are trusted.
type logFlags struct {
	Platform    string        `arg:"--platform" default:"127.0.0.1:8070" help:"address of the platform"`
	TrustedKeys []string      `arg:"--signer,separate" help:"public key to trust; may be given more than once"`
	Timeout     time.Duration `arg:"--timeout" default:"30s"`
	JSON        bool          `arg:"--json"`
}

// readLog reads the bundle log to its end. The caller closes the client.
func (f *logFlags) readLog(ctx context.Context) (*rollout.Rollout, *platform.Client, error) {
	if len(f.TrustedKeys) == 0 {
		return nil, nil, &UsageError{Reason: "bundle: --signer is required"}
	}
	p := platform.New(f.Platform)
	r := rollout.New(rollout.Options{Log: p.Log(rollout.Stream), Signers: f.TrustedKeys})
	if err := r.Poll(ctx, 0); err != nil {
		p.Close()
		return nil, nil, err
	}
	return r, p, nil
}

type bundleSign struct {
	logFlags
	File string `arg:"positional,required" help:"bundle text (INI)"`
	Key  string `arg:"--key,required" help:"private key made by radishgate keys new"`
	Out  string `arg:"--out,required" help:"file for the signed record"`
}

func (c *bundleSign) run(ctx context.Context, stdout, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := loadKey(c.Key)
	if err != nil {
		return err
	}
	r, p, err := c.readLog(ctx)
	if err != nil {
		return err
	}
	defer p.Close()
	record := r.Draft(b.Text())
	record.Sign(key)
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, append(data, '\n'), 0o600); err != nil {
		return &UsageError{Reason: err.Error()}
	}
	kind := "whole"
	if record.IsChange {
		kind = "change of sections"
	}
	_, err = fmt.Fprintf(stdout, "version %d (%s, %d bytes) signed as %.12s in %s\n", record.Version, kind, len(data), record.ID, c.Out)
	return err
}

type bundlePublish struct {
	logFlags
	File              string   `arg:"positional,required" help:"signed record made by bundle sign"`
	OperatorAddresses []string `arg:"--operators,separate" help:"operators' address of an entry to ask; more than once; one for each entry"`
}

// PublishResult is the JSON output of bundle publish.
type PublishResult struct {
	Version   int64             `json:"version"`
	ID        string            `json:"id"`
	Published bool              `json:"published"`
	Accepted  bool              `json:"accepted"`
	Zones     map[string]string `json:"zones"` // "in force", or what is missing
}

// UnconfirmedError is returned when the bundle was published, but some availability
// zones have not confirmed that it is in force.
type UnconfirmedError struct{ Zones []string }

// Error lists the zones.
func (e *UnconfirmedError) Error() string {
	return "published, but not confirmed by " + strings.Join(e.Zones, ", ")
}

func (c *bundlePublish) run(ctx context.Context, stdout, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	data, err := os.ReadFile(c.File)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	var record bundle.Record
	if err := json.Unmarshal(data, &record); err != nil {
		return &UsageError{Reason: fmt.Sprintf("%s: is not a signed bundle: %v", c.File, err)}
	}
	if err := record.Verify(c.TrustedKeys); err != nil {
		return &UsageError{Reason: fmt.Sprintf("%s: %v", c.File, err)}
	}
	r, p, err := c.readLog(ctx)
	if err != nil {
		return err
	}
	defer p.Close()
	if err := r.Publish(ctx, record); err != nil {
		return err
	}
	result := PublishResult{Version: record.Version, ID: record.ID, Published: true}
	if !c.JSON {
		fmt.Fprintf(stdout, "version %d is published as %.12s\n", record.Version, record.ID)
	}
	missing := c.waitForZones(ctx, &result)
	if c.JSON {
		if err := printJSON(stdout, result); err != nil {
			return err
		}
	} else {
		printZones(stdout, result.Zones)
	}
	if len(missing) > 0 {
		return &UnconfirmedError{Zones: missing}
	}
	return nil
}

// waitForZones queries all entries until the version is in force in every availability
// zone or the context ends. It stores the state of each zone in result and returns the
// zones that have not confirmed the version.
func (c *bundlePublish) waitForZones(ctx context.Context, result *PublishResult) []string {
	for {
		statuses := queryEntries(ctx, c.OperatorAddresses)
		result.Zones = map[string]string{}
		var missing []string
		for zone, s := range summarizeByZone(statuses) {
			result.Zones[zone] = "in force"
			if s.lowestVersion < result.Version {
				result.Zones[zone] = fmt.Sprintf("out: lowest version %d, no answer from %d of %d", s.lowestVersion, s.unanswered, s.entries)
				missing = append(missing, zone)
			}
		}
		sort.Strings(missing)
		result.Accepted = len(missing) == 0 && len(result.Zones) > 0
		if result.Accepted || ctx.Err() != nil {
			return missing
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// entryStatus is the answer of one entry to a status query, or the error.
type entryStatus struct {
	address string
	status  entry.Status
	err     error
}

// statusTimeout limits a status query to one entry.
const statusTimeout = time.Second

// queryEntries queries all entries concurrently. Results are in the order of addresses.
func queryEntries(ctx context.Context, addresses []string) []entryStatus {
	statuses := make([]entryStatus, len(addresses))
	done := make(chan int)
	for i, address := range addresses {
		go func() {
			statuses[i] = queryEntry(ctx, address)
			done <- i
		}()
	}
	for range addresses {
		<-done
	}
	return statuses
}

// queryEntry queries one entry. It ignores the cancellation of ctx, so that the last
// query of waitForZones is completed after its deadline.
func queryEntry(ctx context.Context, address string) entryStatus {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
	defer cancel()
	cl := client.New("", address)
	defer cl.Close()
	s := entryStatus{address: address}
	_, data, err := cl.Do(ctx, address, client.Call{Method: http.MethodGet, Path: "/v1/status"})
	if err == nil {
		err = json.Unmarshal(data, &s.status)
	}
	s.err = err
	return s
}

// zoneSummary summarizes the entries of one availability zone.
type zoneSummary struct {
	lowestVersion int64
	entries       int
	unanswered    int
}

// summarizeByZone groups statuses by zone. The zone of an entry that does not answer is
// not known, so each such entry counts as a zone of its own, "unknown (ADDRESS)".
func summarizeByZone(statuses []entryStatus) map[string]zoneSummary {
	zones := map[string]zoneSummary{}
	for _, s := range statuses {
		zone, version := s.status.Zone, s.status.BundleVersion
		if s.err != nil {
			zone, version = "unknown ("+s.address+")", 0
		}
		z, ok := zones[zone]
		if !ok || version < z.lowestVersion {
			z.lowestVersion = version
		}
		z.entries++
		if s.err != nil {
			z.unanswered++
		}
		zones[zone] = z
	}
	return zones
}

func printZones(out io.Writer, zones map[string]string) {
	var names []string
	for zone := range zones {
		names = append(names, zone)
	}
	sort.Strings(names)
	for _, zone := range names {
		fmt.Fprintf(out, "%-24s %s\n", zone, zones[zone])
	}
}

type bundleStatus struct {
	OperatorAddresses []string `arg:"--operators,separate,required" help:"operators' address of an entry; more than once"`
	JSON              bool     `arg:"--json"`
}

func (c *bundleStatus) run(ctx context.Context, stdout, _ io.Writer) error {
	statuses := queryEntries(ctx, c.OperatorAddresses)
	if c.JSON {
		versions := map[string]int64{}
		for zone, z := range summarizeByZone(statuses) {
			versions[zone] = z.lowestVersion
		}
		return printJSON(stdout, versions)
	}
	for _, s := range statuses {
		if s.err != nil {
			fmt.Fprintf(stdout, "%-22s no answer: %v\n", s.address, s.err)
			continue
		}
		fmt.Fprintf(stdout, "%-22s %-16s %-16s version %d %.12s\n", s.address, s.status.Zone, s.status.VM, s.status.BundleVersion, s.status.BundleID)
	}
	return nil
}

// NoBundleError is returned when the log holds no bundle.
type NoBundleError struct{}

// Error implements error.
func (*NoBundleError) Error() string { return "the log holds no bundle" }

type bundleShow struct {
	logFlags
}

func (c *bundleShow) run(ctx context.Context, stdout, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, p, err := c.readLog(ctx)
	if err != nil {
		return err
	}
	defer p.Close()
	b := r.Bundle()
	if b == nil {
		return &NoBundleError{}
	}
	if c.JSON {
		return printJSON(stdout, map[string]any{"version": b.Version, "id": r.ID(), "text": b.Text()})
	}
	_, err = fmt.Fprintf(stdout, "# version %d, %s\n%s", b.Version, r.ID(), b.Text())
	return err
}
