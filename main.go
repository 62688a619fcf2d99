// Command auburngap is an overload control layer for service call graphs.
//
// # Usage
//
//	auburngap node --settings node.json
//	auburngap --help
package main

import (
	"os"

	"auburngap/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
