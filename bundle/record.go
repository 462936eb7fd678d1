package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// signingDomain keeps a bundle's signature from passing for any other.
const signingDomain = "radishgate bundle v1\n"

// Record is the signed form of one version, as it stands in the log. ID is the
// digest of all signed fields; Parent is the id of the version it replaces.
type Record struct {
	ID        string `json:"id"`
	Version   int64  `json:"version"`
	Parent    string `json:"parent"`
	IsChange  bool   `json:"change"` // Text holds changed sections only
	Text      string `json:"text"`
	Signer    string `json:"signer"` // base64 public key
	Signature string `json:"sign"`   // base64 signature
}

// RecordError tells why a record is not to be trusted or applied.
type RecordError struct {
	ID     string
	Reason string
}

// Error names the record.
func (e *RecordError) Error() string { return fmt.Sprintf("bundle record %.12s: %s", e.ID, e.Reason) }

func (r *Record) signedBytes() []byte {
	fields, _ := json.Marshal([]any{r.Version, r.Parent, r.IsChange, r.Text, r.Signer})
	return append([]byte(signingDomain), fields...)
}

func (r *Record) digest() string {
	sum := sha256.Sum256(r.signedBytes())
	return hex.EncodeToString(sum[:])
}

// Sign signs the record and sets its id.
func (r *Record) Sign(key ed25519.PrivateKey) {
	r.Signer = base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	r.ID = r.digest()
	r.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, r.signedBytes()))
}

// Verify checks id and signature against the trusted signers (base64 public keys).
func (r *Record) Verify(signers []string) error {
	if !contains(signers, r.Signer) {
		return &RecordError{ID: r.ID, Reason: "signer is not trusted"}
	}
	if r.ID != r.digest() {
		return &RecordError{ID: r.ID, Reason: "id does not match the content"}
	}
	key, err := base64.StdEncoding.DecodeString(r.Signer)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return &RecordError{ID: r.ID, Reason: "signer is not an ed25519 public key"}
	}
	sign, err := base64.StdEncoding.DecodeString(r.Signature)
	if err != nil || !ed25519.Verify(key, r.signedBytes(), sign) {
		return &RecordError{ID: r.ID, Reason: "signature does not fit"}
	}
	return nil
}
