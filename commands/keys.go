package commands

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"
)

type keysCommand struct {
	New *keysNew `arg:"subcommand:new" help:"make an operator's signing key"`
}

func (c *keysCommand) run(context.Context, io.Writer, io.Writer) error {
	return &UsageError{Reason: "keys: missing subcommand: new"}
}

type keysNew struct {
	File string `arg:"positional,required" help:"file for the private key; it must not exist"`
	JSON bool   `arg:"--json"`
}

func (c *keysNew) run(_ context.Context, stdout, _ io.Writer) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	if _, err := fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	signer := base64.StdEncoding.EncodeToString(public)
	if c.JSON {
		return printJSON(stdout, map[string]string{"signer": signer, "file": c.File})
	}
	_, err = fmt.Fprintf(stdout, "private key in %s; public key for [keys] signers:\n%s\n", c.File, signer)
	return err
}

// loadKey reads a private key written by "radishgate keys new".
func loadKey(name string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &UsageError{Reason: name + ": is not a private key made by radishgate keys new"}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
