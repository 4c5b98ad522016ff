package boot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/core/lint"
	"bulrushpond.example/bulrushpond/platform"
)

// ConfigCmd groups the commands for the operators' configuration on the platform.
type ConfigCmd struct {
	Check ConfigCheckCmd `cmd:"" help:"${help_config_check}"`
}

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// ConfigCheckCmd checks a configuration before it is sent.
type ConfigCheckCmd struct {
	File    string `arg:"" help:"${help_config_file}"`
	Against string `help:"${help_config_against}"`
	VM      string `name:"vm" help:"${help_config_vm}"`
	OutputFlag
}

// configReport is the result of a check.
type configReport struct {
	// Errors are why the daemon could not use the configuration.
	Errors []platform.Problem `json:"errors"`
	// Findings are entries that can never match and limits that contradict each other.
	Findings []platform.Problem `json:"findings"`
	// Changes are the differences from the other configuration.
	Changes []platform.Problem `json:"changes"`
}

// Run implements the command.
func (c *ConfigCheckCmd) Run(_ context.Context, deps Dependencies) error {
	if c.File == standardInput && c.Against == standardInput {
		return withExitCode(ExitUsage, errors.New("only one configuration can come from standard input"))
	}
	checked, report, err := readConfig(c.File)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if checked == nil {
		return c.finish(deps, report, withExitCode(ExitUsage, trace.BadParameter("%s: daemons cannot use this configuration", c.File)))
	}
	if c.VM != "" {
		if checked.Draft.Budget, err = readBudget(c.VM); err != nil {
			return withExitCode(ExitUsage, err)
		}
	}
	report.Findings = checked.Problems(lint.Check(checked.Draft))
	if c.Against != "" {
		before, invalid, err := readConfig(c.Against)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		if before == nil {
			return c.finish(deps, invalid, withExitCode(ExitUsage, trace.BadParameter("%s: daemons cannot use this configuration", c.Against)))
		}
		report.Changes = checked.Problems(lint.Compare(before.Draft.Routing, checked.Draft.Routing))
	}
	if count := len(report.Findings) + len(report.Changes); count > 0 {
		return c.finish(deps, report, withExitCode(ExitFailed, fmt.Errorf("%s: %d findings", c.File, count)))
	}
	return c.finish(deps, report, nil)
}

// finish prints the report and returns the command's error.
func (c *ConfigCheckCmd) finish(deps Dependencies, report configReport, result error) error {
	err := c.print(deps.Out, report, func(w io.Writer) {
		for _, section := range []struct {
			name     string
			problems []platform.Problem
		}{{"error", report.Errors}, {"finding", report.Findings}, {"change", report.Changes}} {
			for _, p := range section.problems {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", section.name, describePlace(p), p.Text)
			}
		}
	})
	if err != nil {
		return err
	}
	return result
}

// describePlace returns the line and path of a problem.
func describePlace(p platform.Problem) string {
	if p.Line == 0 {
		return p.Path
	}
	return strings.TrimSpace(fmt.Sprintf("line %d %s", p.Line, p.Path))
}

// readConfig reads a configuration. If daemons could not use it, the report says why, and the result is nil.
func readConfig(file string) (*platform.CheckedConfig, configReport, error) {
	report := configReport{Errors: []platform.Problem{}, Findings: []platform.Problem{}, Changes: []platform.Problem{}}
	raw, err := readFileOrInput(file)
	if err != nil {
		return nil, report, err
	}
	checked, problems := platform.CheckConfig(raw)
	if checked == nil {
		report.Errors = problems
	}
	return checked, report, nil
}

func readFileOrInput(file string) ([]byte, error) {
	if file == standardInput {
		raw, err := io.ReadAll(os.Stdin)
		return raw, trace.Wrap(err)
	}
	raw, err := os.ReadFile(file)
	return raw, trace.ConvertSystemError(err)
}

// readBudget reads the retry budget from a VM's settings file.
func readBudget(file string) (*lint.Budget, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	vm, err := platform.ParseVMSettings(string(raw))
	if err != nil {
		return nil, trace.Wrap(err, "%s", file)
	}
	return &lint.Budget{Ratio: vm.RetryRatio, Burst: vm.RetryBurst, Window: vm.RetryWindow}, nil
}
