package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/tailscale/hujson"

	"auburngap/bundle"
)

// KeyPairCommand is "auburngap key-pair": it generates an operator's key pair.
type KeyPairCommand struct {
	Name string `arg:"--name,required" placeholder:"NAME" help:"the operator's name in the bundle"`
	Out  string `arg:"--out,required" placeholder:"FILE" help:"takes the private key; keep it to yourself"`
}

// keyFile is the content of a key file.
type keyFile struct {
	Name       string `json:"name"`
	PublicKey  string `json:"publicKey"`
	PrivateKey string `json:"privateKey"`
}

// Run implements command. It prints the public key and never overwrites a file.
func (c *KeyPairCommand) Run(_ context.Context, env Environment) error {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(env.Random, seed); err != nil {
		return ErrFailed.Wrap(err, "cannot read random bytes")
	}
	public := ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey)
	file := keyFile{
		Name:       c.Name,
		PublicKey:  base64.StdEncoding.EncodeToString(public),
		PrivateKey: base64.StdEncoding.EncodeToString(seed),
	}
	encoded, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	if err := writeNew(c.Out, append(encoded, '\n'), 0o600); err != nil {
		return err
	}
	_, err = fmt.Fprintln(env.Stdout, file.PublicKey)
	return err
}

// ReadSigner reads the file of a key pair. It returns ErrUsage if the file cannot be
// read or is not a valid key file.
func ReadSigner(path string) (bundle.Signer, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return bundle.Signer{}, ErrUsage.Wrap(err, "cannot read the key")
	}
	plain, err := hujson.Standardize(source)
	if err != nil {
		return bundle.Signer{}, ErrUsage.Wrap(err, "%s is not a key file", path)
	}
	var file keyFile
	if err := json.Unmarshal(plain, &file); err != nil {
		return bundle.Signer{}, ErrUsage.Wrap(err, "%s is not a key file", path)
	}
	seed, err := base64.StdEncoding.DecodeString(file.PrivateKey)
	if err != nil || len(seed) != ed25519.SeedSize || file.Name == "" {
		return bundle.Signer{}, ErrUsage.New("%s holds no private key with a name", path)
	}
	return bundle.Signer{Name: file.Name, Key: ed25519.NewKeyFromSeed(seed)}, nil
}
