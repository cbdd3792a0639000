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
	ExitOK           = 0
	ExitOther        = 1
	ExitUsage        = 2
	ExitRefused      = 3
	ExitConflict     = 4
	ExitPending      = 5
	ExitUnknown      = 6
	ExitUnreachable  = 7
	ExitLate         = 8
	ExitUnauthorized = 9
)

var exitsByKind = map[requester.Kind]int{
	requester.Unreachable:    ExitUnreachable,
	requester.Unauthorized:   ExitUnauthorized,
	requester.Invalid:        ExitRefused,
	requester.OutcomeUnknown: ExitUnknown,
	requester.NotConverged:   ExitLate,
}

var exitsByStatus = map[sycamorerun.Status]int{
	sycamorerun.StatusAccepted: ExitOK,
	sycamorerun.StatusPending:  ExitPending,
	sycamorerun.StatusRefused:  ExitRefused,
	sycamorerun.StatusConflict: ExitConflict,
	sycamorerun.StatusUnknown:  ExitUnknown,
}

// exit ends the program with a code. Without a cause, the output says already
// what happened.
type exit struct {
	code  int
	cause error
}

func (e *exit) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

func (e *exit) Unwrap() error { return e.cause }

func usage(err error) error { return &exit{ExitUsage, err} }

// ended returns the exit of a change's outcome.
func ended(outcome *settings.Outcome) error {
	code, ok := exitsByStatus[sycamorerun.Status(outcome.Status)]
	if !ok {
		code = ExitOther
	}
	if code == ExitOK {
		return nil
	}
	return &exit{code: code}
}

// report writes the error and returns its exit code.
func (c *Commander) report(err error) int {
	if err == nil {
		return ExitOK
	}
	code := ExitOther
	failure := requester.AsFailure(err)
	if failure != nil && exitsByKind[failure.Kind] != 0 {
		code = exitsByKind[failure.Kind]
	}
	var end *exit
	if errors.As(err, &end) {
		if code = end.code; end.cause == nil {
			return code
		}
	}
	c.describe(code, err, failure)
	return code
}

// describe writes the error to the error stream.
func (c *Commander) describe(code int, err error, failure *requester.Failure) {
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
