package operator

// The texts of the commands.
const (
	textNoCommand = "no command of %q named; try: auburngap %s --help"

	textNoFaults     = "%s: no fault found\n"
	textNoDifference = "no difference\n"
	textProposed     = "proposal %s for version %d by %s\n"
	textApproved     = "%s signed proposal %s: %d sign-off(s)\n"
	textRolledOut    = "version %d is rolled out\n"
	textNeedsMore    = "%d more sign-off(s) needed; then: auburngap bundle rollout %s\n"
	textReady        = "enough sign-offs; now: auburngap bundle rollout %s\n"
	textKeyIssued    = "key %s of workspace %s; this is the only time that it is shown:\n%s\n"
	textKeyWithdrawn = "key %s of workspace %s is withdrawn in the proposed version\n"
	textNoProposals  = "no open proposals\n"
	textNoNodes      = "no node found: name control addresses with --node"

	textInit = `// A bundle to begin with. Change it, then:
//   auburngap bundle check %[1]s
//   auburngap bundle propose --platform ADDRESS --author NAME %[1]s
{
  // How many operators must sign a successor of this version.
  "signOffs": 1,
  // Make a key pair with: auburngap key-pair --name NAME --out FILE
  "operators": [
    { "name": "%[2]s", "publicKey": "%[3]s" }
  ],

  // The availability zones of the site. The number of shards never changes
  // with the number of VMs.
  "zones": [
    { "name": "zone-a", "region": "region-a", "shards": 4 }
  ],

  // Rate is in requests a second and burst in requests, over all VMs together.
  // Issue keys with: auburngap key issue --workspace NAME --id ID
  "workspaces": [
    { "name": "first", "rate": 100, "burst": 200, "weight": 1, "keys": [] }
  ],

  // Slots and connections are those of one backend server.
  "services": [
    { "name": "front", "slots": 32, "connections": 256, "timeout": "2s", "calls": ["store"] },
    { "name": "store", "slots": 32, "connections": 256, "timeout": "1s" }
  ],

  // Priority 0 is shed last, 3 first. A commitment runs at most once and needs
  // an Idempotency-Key.
  "routes": [
    { "name": "read", "methods": ["GET"], "prefix": "/", "service": "front", "priority": 1, "idempotent": true, "timeout": "2s", "retryBudget": 2 },
    { "name": "buy", "methods": ["POST"], "prefix": "/buy", "service": "front", "priority": 0, "commitment": true, "timeout": "5s", "retryBudget": 2 }
  ],

  // "goodput" or "worstServed": what to favour where they pull apart.
  "policy": { "admissionMargin": 1.1 }
}
`
)

// examples holds the text printed below the help of a command, by the command's first
// word.
var examples = map[string]string{
	"bundle": `Examples:
  auburngap bundle init --name tuyeni --public-key KEY bundle.json
  auburngap bundle check bundle.json
  auburngap bundle show > bundle.json
  auburngap bundle diff bundle.json
  auburngap bundle propose --author tuyeni --note "more for the dailies" bundle.json
  auburngap bundle status
  auburngap bundle diff --proposal ID
  auburngap bundle approve --key tuyeni.key ID
  auburngap bundle rollout ID
  auburngap bundle history --count 20

The platform's address may stand in AUBURNGAP_PLATFORM.`,
	"key": `Examples:
  auburngap key issue --workspace desk --id desk-2027 --key tuyeni.key
  auburngap key withdraw --id desk-2026 --key tuyeni.key --rollout

Each makes a proposal for a new version; --rollout brings it into force at
once where the operator's own sign-off is enough.`,
	"key-pair": `Examples:
  auburngap key-pair --name tuyeni --out tuyeni.key`,
	"status": `Examples:
  auburngap status
  auburngap status --node 10.0.0.5:8083 --node 10.0.1.5:8083 --json`,
	"report": `Examples:
  auburngap report --node 10.0.0.5:8083 --window 1m --window 5m
  auburngap report --file snapshot.json --format html --out report.html`,
}

// Examples returns the examples and exit codes of a command, given by its first word.
// It returns an empty text for other commands.
func Examples(name string) string {
	text, ok := examples[name]
	if !ok {
		return ""
	}
	return text + `

Exit codes: 0 done, 1 failed, 2 wrong usage or a faulty file, 3 another
operator's change came first, 4 the platform gave no answer (the change may
have taken effect; running the command again tells).`
}
