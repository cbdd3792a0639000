package acceptor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/encoder"
	"sycamorerun/persister"
)

// Limits of the proposals of one team.
const (
	MaxProposals   = 64
	MaxProposalAge = 7 * 24 * time.Hour
)

// Proposal is a change that waits for another operator's approval.
type Proposal struct {
	ID       string
	Team     string
	Operator string
	Kind     sycamorerun.ChangeKind
	// Items is the proposed subtree without its hold.
	Items map[sycamorerun.Path]sycamorerun.Item
	// Content is the hash of Items.
	Content sycamorerun.Hash
	// Base is the hash of the subtree that the proposal was based on.
	Base sycamorerun.Hash
	Time time.Time

	revision persister.Revision
}

// Expired reports whether the proposal is too old to be approved.
func (p Proposal) Expired(now time.Time) bool { return now.Sub(p.Time) > MaxProposalAge }

func encodeProposal(p Proposal) ([]byte, error) {
	data, err := encoder.Pack(&ProposalRecord{
		Id: p.ID, Team: p.Team, Operator: p.Operator, Kind: string(p.Kind),
		Subtree: encoder.FromTree(sycamorerun.Tree{Items: p.Items}, p.Content),
		Base:    p.Base[:], UnixNano: p.Time.UnixNano(),
	})
	if err == nil && len(data) > persister.ValueBytes {
		err = errors.Wrapf(persister.ErrTooLarge, "proposal of %d bytes", len(data))
	}
	return data, err
}

func decodeProposal(object persister.Object) (Proposal, error) {
	record, err := encoder.Unpack[ProposalRecord](object.Value)
	if err != nil {
		return Proposal{}, errors.Wrapf(err, "decode %s", object.Key)
	}
	tree, content, err := encoder.ToTree(record.GetSubtree())
	if err != nil || content != differ.Hash(tree.Items) || len(record.GetBase()) != len(content) {
		return Proposal{}, errors.Errorf("decode %s: content does not match its hash", object.Key)
	}
	return Proposal{
		ID: record.GetId(), Team: record.GetTeam(), Operator: record.GetOperator(),
		Kind:  sycamorerun.ChangeKind(record.GetKind()),
		Items: tree.Items, Content: content, Base: sycamorerun.Hash(record.GetBase()),
		Time: time.Unix(0, record.GetUnixNano()).UTC(), revision: object.Revision,
	}, nil
}

// Proposals returns the team's proposals under review in order of revision, oldest
// first. It removes proposals that are expired or already decided.
func (a *Acceptor) Proposals(ctx context.Context, team string) ([]Proposal, error) {
	if a.ExternallyManaged {
		return nil, nil
	}
	if err := a.acquire(ctx); err != nil {
		return nil, err
	}
	defer a.release()
	if _, err := a.syncHead(ctx); err != nil {
		return nil, err
	}
	return a.pendingProposals(ctx, team)
}

func (a *Acceptor) pendingProposals(ctx context.Context, team string) ([]Proposal, error) {
	listing, err := a.Store.List(ctx, persister.ProposalKey(team, ""), 0)
	if err != nil {
		return nil, err
	}
	var pending []Proposal
	for _, object := range listing.Objects {
		proposal, err := decodeProposal(object)
		if err != nil {
			a.warn("ignoring a proposal that cannot be decoded", err)
			continue
		}
		_, decided := a.history.byID[proposal.ID]
		if decided || proposal.Expired(a.Now()) {
			a.removeProposal(ctx, proposal)
			continue
		}
		pending = append(pending, proposal)
	}
	return pending, nil
}

// removeProposal deletes a proposal that has been decided or is expired. A failure
// is harmless: the log records the decision, and the next list of proposals tries
// again.
func (a *Acceptor) removeProposal(ctx context.Context, proposal Proposal) {
	err := a.Store.Delete(ctx, persister.ProposalKey(proposal.Team, proposal.ID), proposal.revision)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		a.warn("deleting a proposal from the store failed", err)
	}
}

// storeProposal stores a proposal unless one with the same id exists.
func (a *Acceptor) storeProposal(ctx context.Context, proposal Proposal) sycamorerun.Outcome {
	outcome := sycamorerun.Outcome{ID: proposal.ID, Status: sycamorerun.StatusPending}
	key := persister.ProposalKey(proposal.Team, proposal.ID)
	pending, err := a.pendingProposals(ctx, proposal.Team)
	if err != nil {
		return unknownOutcome(proposal.ID, err)
	}
	for _, other := range pending {
		if other.ID == proposal.ID {
			return outcome
		}
	}
	if len(pending) >= MaxProposals {
		return refuse(proposal.ID, "too-many-proposals", proposal.Team, "the team has %d proposals under review", len(pending))
	}
	data, err := encodeProposal(proposal)
	if err != nil {
		return refuse(proposal.ID, "too-large", proposal.Team, "%v", err)
	}
	_, err = a.Store.Put(ctx, key, data, 0)
	if errors.Is(err, persister.ErrUnknown) {
		_, err = a.Store.Get(ctx, key)
	}
	if err != nil && !errors.Is(err, persister.ErrConflict) {
		return unknownOutcome(proposal.ID, err)
	}
	return outcome
}

// readProposal returns the proposal with id, or nil if there is none that can be
// decoded.
func (a *Acceptor) readProposal(ctx context.Context, team, id string) (*Proposal, error) {
	object, err := a.Store.Get(ctx, persister.ProposalKey(team, id))
	if errors.Is(err, persister.ErrMissing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	proposal, err := decodeProposal(object)
	if err != nil {
		a.warn("ignoring a proposal that cannot be decoded", err)
		return nil, nil
	}
	return &proposal, nil
}
