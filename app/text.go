package app

// The texts of the command line.
const (
	version = "auburngap 0.1.0"

	textDescription = "auburngap is an overload control layer for service call graphs."
	textEpilogue    = `Examples:
  auburngap tls authority --site windhoek > authority.json
  auburngap tls node --authority authority.json    prints peerTls for a node's settings
  auburngap settings check node.json
  auburngap node --settings node.json
  auburngap bundle check bundle.json
  auburngap explain fe35aefbce63fb73 vm-*.log
  auburngap experiment --help    measure the decisions under overload

Exit codes: 0 done, 1 failed, 2 wrong usage or a faulty file.`
	textTryHelp = "Try: auburngap --help"
	textNoFault = "no fault found"
)
