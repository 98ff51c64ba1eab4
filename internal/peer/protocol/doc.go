// Package protocol has the messages between entry VMs and their encoding.
//
// The messages are JSON-RPC 2.0 objects, each preceded by its length as a
// varint. A connection begins with peer.hello and peer.proof, by which both
// sides show that they have the deployment's key; it then serves one request
// at a time. A request is followed by any number of notifications and by its
// response, which is the end marker.
//
// Nothing after the proof is encrypted or signed: the key keeps strangers from
// opening connections, not from changing those of others.
package protocol
