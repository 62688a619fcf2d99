// Package peerpb holds the messages between nodes, generated from the .proto
// files beside it.
//
// # Usage
//
//	call := &peerpb.Call{Service: "orders", Method: "GET", Uri: []byte("/42")}
//	data, err := proto.Marshal(call)
package peerpb
