package commander

import (
	"errors"
	"fmt"
	"io"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
)

// Exit codes of srctl.
const (
	ExitOK             = 0
	ExitOther          = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitConflict       = 4
	ExitPending        = 5
	ExitOutcomeUnknown = 6
	ExitUnreachable    = 7
	ExitNotConverged   = 8
	ExitUnauthorized   = 9
)

var exitCodeByKind = map[requester.Kind]int{
	requester.Unreachable:    ExitUnreachable,
	requester.Unauthorized:   ExitUnauthorized,
	requester.Invalid:        ExitRefused,
	requester.OutcomeUnknown: ExitOutcomeUnknown,
	requester.NotConverged:   ExitNotConverged,
}

var exitCodeByStatus = map[sycamorerun.Status]int{
	sycamorerun.StatusAccepted: ExitOK,
	sycamorerun.StatusPending:  ExitPending,
	sycamorerun.StatusRefused:  ExitRefused,
	sycamorerun.StatusConflict: ExitConflict,
	sycamorerun.StatusUnknown:  ExitOutcomeUnknown,
}

// exitError ends the program with an exit code. It has no cause when the output
// already reports the result.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

func (e *exitError) Unwrap() error { return e.cause }

func usageError(err error) error { return &exitError{ExitUsage, err} }

// outcomeError returns an exitError for a change's outcome, or nil when the change
// was accepted.
func outcomeError(outcome *settings.Outcome) error {
	code, ok := exitCodeByStatus[sycamorerun.Status(outcome.Status)]
	if !ok {
		code = ExitOther
	}
	if code == ExitOK {
		return nil
	}
	return &exitError{code: code}
}

// report writes err, unless the output already reports the result, and returns
// the exit code.
func (c *Commander) report(err error) int {
	if err == nil {
		return ExitOK
	}
	code := ExitOther
	failure := requester.AsFailure(err)
	if failure != nil && exitCodeByKind[failure.Kind] != 0 {
		code = exitCodeByKind[failure.Kind]
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		if code = exitErr.code; exitErr.cause == nil {
			return code
		}
	}
	c.writeError(code, err, failure)
	return code
}

// writeError writes err to the error stream in the output format.
func (c *Commander) writeError(code int, err error, failure *requester.Failure) {
	if c.output == printer.JSON {
		body := map[string]any{"exit": code, "reason": err.Error()}
		if failure != nil {
			body["kind"], body["code"], body["id"] = failure.Kind, failure.Code, failure.ChangeID
		}
		if printer.Printer.Print(printer.Printer{Out: c.Err, Format: printer.JSON}, body, nil) == nil {
			return
		}
	}
	io.WriteString(c.Err, printer.Sanitize("srctl: "+err.Error()+"\n"))
	if code == ExitUsage {
		io.WriteString(c.Err, "See srctl --help.\n")
	}
}
