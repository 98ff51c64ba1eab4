package protocol

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

const nonceBytes = 32

// Side is one end of a connection. Each side proves itself under its own name,
// so that a proof can't be sent back to its author.
type Side string

// Sides of a connection.
const (
	DialerSide Side = "dialer"
	ServerSide Side = "server"
)

// Hello is the dialer's first message.
type Hello struct {
	VM    ident.VMID `json:"vm"`
	Nonce []byte     `json:"nonce"`
}

// HelloReply is the server's answer to Hello.
type HelloReply struct {
	VM    ident.VMID `json:"vm"`
	Nonce []byte     `json:"nonce"`
	Proof []byte     `json:"proof"`
}

// Proof is the dialer's second message.
type Proof struct {
	Proof []byte `json:"proof"`
}

// NewNonce returns a value that no earlier connection has used.
func NewNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	return nonce
}

// Prove returns the HMAC-SHA256 by which a side shows that it has the key. It
// covers both nonces, so that it is of no use on another connection.
func Prove(key []byte, side Side, dialer Hello, server HelloReply) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(side), []byte(dialer.VM), dialer.Nonce, []byte(server.VM), server.Nonce} {
		// The lengths keep the parts apart.
		mac.Write(binary.AppendUvarint(nil, uint64(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// Proves reports whether proof is that of a side. An empty key proves nothing.
func Proves(proof, key []byte, side Side, dialer Hello, server HelloReply) bool {
	return len(key) > 0 && len(dialer.Nonce) == nonceBytes && len(server.Nonce) == nonceBytes &&
		hmac.Equal(proof, Prove(key, side, dialer, server))
}
