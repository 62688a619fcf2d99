package operator

// BundleCommand is "auburngap bundle".
type BundleCommand struct {
	Init    *BundleInit    `arg:"subcommand:init" help:"write a bundle to begin with"`
	Check   *BundleCheck   `arg:"subcommand:check" help:"print every fault of a bundle"`
	Show    *BundleShow    `arg:"subcommand:show" help:"print a version as JSON"`
	Diff    *BundleDiff    `arg:"subcommand:diff" help:"print what a bundle changes"`
	Propose *BundlePropose `arg:"subcommand:propose" help:"propose a bundle as the next version"`
	Approve *BundleApprove `arg:"subcommand:approve" help:"sign a proposal"`
	Rollout *BundleRollout `arg:"subcommand:rollout" help:"make a signed proposal the newest version"`
	Status  *BundleStatus  `arg:"subcommand:status" help:"show the newest version and the open proposals"`
	History *BundleHistory `arg:"subcommand:history" help:"list the versions, the newest first"`
}

func (c *BundleCommand) selected() command {
	switch {
	case c.Init != nil:
		return c.Init
	case c.Check != nil:
		return c.Check
	case c.Show != nil:
		return c.Show
	case c.Diff != nil:
		return c.Diff
	case c.Propose != nil:
		return c.Propose
	case c.Approve != nil:
		return c.Approve
	case c.Rollout != nil:
		return c.Rollout
	case c.Status != nil:
		return c.Status
	case c.History != nil:
		return c.History
	default:
		return missingCommand{group: "bundle"}
	}
}
