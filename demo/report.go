package main

import (
	"context"
	"fmt"
	"path/filepath"
)

// report prints the status and the report, and writes the report as an HTML page.
func (d *demo) report(ctx context.Context) error {
	nodes := d.nodeFlags()
	status, err := d.run(ctx, "status")
	if err != nil {
		return err
	}
	fmt.Println(status)
	text, err := d.run(ctx, append([]string{"report"}, nodes...)...)
	if err != nil {
		return err
	}
	fmt.Println(text)
	page := filepath.Join(d.arguments.Out, "report.html")
	if _, err := d.run(ctx, append([]string{"report", "--format", "html", "--out", page}, nodes...)...); err != nil {
		return err
	}
	logProgress("the report as a page: %s", page)
	return nil
}

// nodeFlags returns a --node flag with the control address of each node.
func (d *demo) nodeFlags() []string {
	var flags []string
	for _, vm := range d.vms {
		flags = append(flags, "--node", d.site.Node(vm.name).Settings.ControlAddress.String())
	}
	return flags
}
