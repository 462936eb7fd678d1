package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// signingDomain is the prefix of the signed bytes. It keeps the signature of a
// bundle from being valid for any other kind of data.
const signingDomain = "radishgate bundle v1\n"

// Record is one signed version of the bundle, as stored in the log. ID is the
// SHA-256 digest of all signed fields; Parent is the ID of the version that the
// record replaces, or "" for the first one.
type Record struct {
	ID        string `json:"id"`
	Version   int64  `json:"version"`
	Parent    string `json:"parent"`
	IsChange  bool   `json:"change"` // Text holds only the changed sections
	Text      string `json:"text"`
	Signer    string `json:"signer"` // base64 public key
	Signature string `json:"sign"`   // base64 signature
}

// RecordError reports why a record can't be trusted or applied.
type RecordError struct {
	ID     string
	Reason string
}

// Error implements error; it names the record.
func (e *RecordError) Error() string { return fmt.Sprintf("bundle record %.12s: %s", e.ID, e.Reason) }

// signedBytes returns the bytes that are hashed and signed. The order of the
// fields is part of the format.
func (r *Record) signedBytes() []byte {
	fields, _ := json.Marshal([]any{r.Version, r.Parent, r.IsChange, r.Text, r.Signer})
	return append([]byte(signingDomain), fields...)
}

func (r *Record) digest() string {
	sum := sha256.Sum256(r.signedBytes())
	return hex.EncodeToString(sum[:])
}

// Sign sets the signer, the ID and the signature of the record.
func (r *Record) Sign(key ed25519.PrivateKey) {
	r.Signer = base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	r.ID = r.digest()
	r.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, r.signedBytes()))
}

// Verify checks that the ID matches the content and that one of the trusted
// signers (base64 public keys) has signed the record. Errors are *RecordError.
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
	signature, err := base64.StdEncoding.DecodeString(r.Signature)
	if err != nil || !ed25519.Verify(key, r.signedBytes(), signature) {
		return &RecordError{ID: r.ID, Reason: "signature is not valid"}
	}
	return nil
}
