package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
)

func (c *Commander) reviewCommands() []*cobra.Command {
	var wait bool
	var content string
	proposals := &cobra.Command{
		Use: "proposals TEAM", Short: "Show the changes that wait for review", GroupID: groupReview,
		Example: "  srctl proposals quoting",
		Args:    cobra.ExactArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			_, list, err := c.proposals(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(list, func(w io.Writer) {
				for _, proposal := range list {
					writeProposal(w, proposal)
				}
			})
		}),
	}
	approve := &cobra.Command{
		Use: "approve TEAM ID", Short: "Approve a change that waits for review", GroupID: groupReview,
		Long: `Approve a change that waits for review.

The approval holds for exactly the content that is shown, or for the content
hash that --content names, such as the one that "srctl proposals" showed.`,
		Example: "  srctl approve quoting 6f1c3f2e-4f5b-4a53-9a59-3c1d9f2f7a10 --content 9f86d081...",
		Args:    cobra.ExactArgs(2),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.review(ctx, sycamorerun.Approve, args, content, wait)
		}),
	}
	reject := &cobra.Command{
		Use: "reject TEAM ID", Short: "Reject a change that waits for review", GroupID: groupReview,
		Example: "  srctl reject quoting 6f1c3f2e-4f5b-4a53-9a59-3c1d9f2f7a10",
		Args:    cobra.ExactArgs(2),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.review(ctx, sycamorerun.Reject, args, content, false)
		}),
	}
	addWaitFlag(approve, &wait)
	for _, command := range []*cobra.Command{approve, reject} {
		command.Flags().StringVar(&content, "content", "", "hex `SHA-256` of the reviewed content; by default that of the proposal as it is now")
	}
	return []*cobra.Command{proposals, approve, reject}
}

// proposals returns a team's pending proposals and the client that read them.
func (c *Commander) proposals(ctx context.Context, name string) (*requester.Requester, []*settings.Proposal, error) {
	name, err := parseTeam(name)
	if err != nil {
		return nil, nil, err
	}
	r, err := c.newRequester()
	if err != nil {
		return nil, nil, err
	}
	list, err := requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) ([]*settings.Proposal, error) {
		return node.Settings.Proposals(ctx, &settings.ProposalsPayload{Token: r.Authorization(), Team: name})
	})
	return r, list, err
}

func writeProposal(w io.Writer, proposal *settings.Proposal) {
	fmt.Fprintf(w, "proposal %s by %s at %s\ncontent %s\n", proposal.ID, proposal.Operator, proposal.Time, proposal.Content)
	printer.Differences(w, proposal.Differences)
}

// review approves or rejects a proposal.
func (c *Commander) review(ctx context.Context, kind sycamorerun.ChangeKind, args []string, content string, wait bool) error {
	if uuid.Validate(args[1]) != nil {
		return usageError(errors.Errorf("%q is not a UUID", args[1]))
	}
	r, list, err := c.proposals(ctx, args[0])
	if err != nil {
		return err
	}
	for _, proposal := range list {
		if proposal.ID != args[1] {
			continue
		}
		if content == "" {
			content = proposal.Content
		}
		if c.output == printer.Text {
			if err := c.print(nil, func(w io.Writer) { writeProposal(w, proposal) }); err != nil {
				return err
			}
		}
		return c.submitChange(ctx, r, &settings.SubmitPayload{
			Kind: string(kind), Team: args[0], Proposal: &proposal.ID, Content: &content,
		}, wait)
	}
	return &requester.Failure{Kind: requester.NotFound, Reason: fmt.Sprintf("team %s has no proposal %s", args[0], args[1])}
}
